package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.AccountName;

/**
 * What a request has taken of its account's quota.
 *
 * @param account the account
 * @param units what was taken; 0 where nothing is limited
 * @param chargedMillis when it was taken
 */
public record QuotaCharge(AccountName account, long units, long chargedMillis) {}
