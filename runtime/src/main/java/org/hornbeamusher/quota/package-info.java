/**
 * Quotas of client accounts, shared by all entries. Pure decision logic without network access or
 * threads.
 *
 * <p>{@link org.hornbeamusher.quota.QuotaMeter} decides at an entry; {@link
 * org.hornbeamusher.quota.UsageRelay} adds up, at an agent, what the entries admit.
 */
package org.hornbeamusher.quota;
