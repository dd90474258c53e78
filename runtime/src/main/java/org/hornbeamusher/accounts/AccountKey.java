package org.hornbeamusher.accounts;

/**
 * The secret by which a caller shows which client account it belongs to.
 *
 * <p>Its text never leaves this class: {@link #toString} shows nothing of it, so that neither a log
 * line nor a failure's message can carry it.
 */
public final class AccountKey {

  private final String secret;

  /**
   * Creates a key.
   *
   * @param secret the text as the caller sends it; not empty
   * @throws IllegalArgumentException when it is empty
   */
  public AccountKey(String secret) {
    if (secret.isEmpty()) {
      throw new IllegalArgumentException("an account key has no empty form");
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

  /** Shows nothing of the secret. */
  @Override
  public String toString() {
    return "AccountKey";
  }
}
