package org.hornbeamusher.accounts;

import java.util.OptionalInt;

/**
 * A client account, for which requests are run.
 *
 * @param name the account's name
 * @param rank the priority of all its requests, 0 being the highest; empty if their routes decide
 * @param quota the limit of its usage
 */
public record ClientAccount(AccountName name, OptionalInt rank, Quota quota) {}
