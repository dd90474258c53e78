/**
 * Limits of client accounts over all entries together: decisions without network or threads.
 *
 * <p>{@link org.hornbeamusher.quota.QuotaMeter} decides at an entry, {@link
 * org.hornbeamusher.quota.UsageRelay} adds up at an agent what the entries admit.
 */
package org.hornbeamusher.quota;
