/**
 * Decides which agent may load from a weight store, and when. Pure decision logic without network
 * access or threads.
 *
 * <p>One agent of a store, determined by {@link org.hornbeamusher.pacing.PermitHolderChoice}, runs
 * the {@link org.hornbeamusher.pacing.PermitAllocator}; an agent that cannot reach it uses its own
 * {@link org.hornbeamusher.pacing.LocalPacer}.
 */
package org.hornbeamusher.pacing;
