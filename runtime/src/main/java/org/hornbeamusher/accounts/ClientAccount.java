package org.hornbeamusher.accounts;

import java.util.OptionalInt;

/**
 * Who a request is run for.
 *
 * @param name the account's name
 * @param rank the urgency of all its requests, 0 first; empty when their routes decide
 * @param quota how much it may ask
 */
public record ClientAccount(AccountName name, OptionalInt rank, Quota quota) {}
