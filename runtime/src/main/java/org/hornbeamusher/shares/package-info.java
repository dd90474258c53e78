/**
 * Fair shares of scarce capacity between client accounts and kinds of request. Pure decision logic
 * without network access or threads.
 *
 * <p>{@link org.hornbeamusher.shares.FairShares} decides at an entry, on the demand at all entries;
 * {@link org.hornbeamusher.shares.MaxMin} is the allocation.
 */
package org.hornbeamusher.shares;
