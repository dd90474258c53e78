package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.AccountName;

/**
 * The charge of a request to its account's quota.
 *
 * @param account the account
 * @param units the units charged; 0 if the account is unlimited
 * @param chargedMillis when they were charged
 */
public record QuotaCharge(AccountName account, long units, long chargedMillis) {}
