package org.hornbeamusher.accounts;

/**
 * The secret key that authenticates a caller as belonging to a client account.
 *
 * <p>Its text never leaves this class: {@link #toString} does not reveal it, so neither a log line
 * nor an error message can contain it.
 */
public final class AccountKey {

  private final String secret;

  /**
   * Creates a key.
   *
   * @param secret the text as the caller sends it; not empty
   * @throws IllegalArgumentException if it is empty
   */
  public AccountKey(String secret) {
    if (secret.isEmpty()) {
      throw new IllegalArgumentException("account key must not be empty");
    }
    this.secret = secret;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AccountKey key && secret.equals(key.secret);
  }

  @Override
  public int hashCode() {
    return secret.hashCode();
  }

  /** Does not reveal the secret. */
  @Override
  public String toString() {
    return "AccountKey";
  }
}
