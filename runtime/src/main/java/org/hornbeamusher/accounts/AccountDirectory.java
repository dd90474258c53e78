package org.hornbeamusher.accounts;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one configuration, indexed by their keys. Immutable.
 *
 * <p>With a configuration without client accounts, callers need no key.
 */
public final class AccountDirectory {

  /** No client accounts: callers need no key. */
  public static final AccountDirectory NONE = new AccountDirectory(Map.of());

  private final Map<AccountKey, ClientAccount> byKey;
  private final Map<AccountName, ClientAccount> byName = new HashMap<>();

  /**
   * Creates a directory in which every account has a key.
   *
   * @param byKey the account of each key
   */
  public AccountDirectory(Map<AccountKey, ClientAccount> byKey) {
    this(byKey, byKey.values());
  }

  /**
   * Creates a directory.
   *
   * @param byKey the account of each key
   * @param accounts all accounts, including those whose last key was revoked
   */
  public AccountDirectory(
      Map<AccountKey, ClientAccount> byKey, Collection<ClientAccount> accounts) {
    this.byKey = Map.copyOf(byKey);
    accounts.forEach(account -> byName.put(account.name(), account));
  }

  /**
   * Returns whether callers need a key.
   *
   * @return whether there is any account
   */
  public boolean keyRequired() {
    return !byName.isEmpty();
  }

  /**
   * Finds the account of a key.
   *
   * @param key the key
   * @return the account, or empty if no account has this key
   */
  public Optional<ClientAccount> findByKey(AccountKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Returns all accounts.
   *
   * @return the accounts by name
   */
  public Map<AccountName, ClientAccount> accounts() {
    return Map.copyOf(byName);
  }
}
