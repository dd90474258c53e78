package org.hornbeamusher.ids;

/**
 * The caller's key that marks repeated sends of one non-repeatable request.
 *
 * @param value at most 128 printable characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Refuses a text that is not an identifier. */
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
