package org.hornbeamusher.accounts;

/**
 * The name of a client account, by which logs, metrics and endpoints know it.
 *
 * @param value the name; not empty
 */
public record AccountName(String value) {

  @Override
  public String toString() {
    return value;
  }
}
