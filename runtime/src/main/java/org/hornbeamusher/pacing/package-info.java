/**
 * Decides which agent may load from a weight store, and when. No network, no threads.
 *
 * <p>One agent of a store, found by {@link org.hornbeamusher.pacing.PermitHolderChoice}, keeps the
 * {@link org.hornbeamusher.pacing.PermitLedger}; an agent that cannot reach it goes by its own
 * {@link org.hornbeamusher.pacing.LocalPacer}.
 */
package org.hornbeamusher.pacing;
