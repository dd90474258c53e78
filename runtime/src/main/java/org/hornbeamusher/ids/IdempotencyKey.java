package org.hornbeamusher.ids;

/**
 * A caller's key that identifies the retries of one non-repeatable request.
 *
 * @param value at most 128 printable characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Rejects a value that is not a valid identifier. */
  public IdempotencyKey {
    Identifiers.requireOpaque("IdempotencyKey", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
