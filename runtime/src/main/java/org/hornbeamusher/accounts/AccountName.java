package org.hornbeamusher.accounts;

/**
 * The name of a client account, which identifies it in logs, in metrics and to endpoints.
 *
 * @param value the name; not empty
 */
public record AccountName(String value) {

  @Override
  public String toString() {
    return value;
  }
}
