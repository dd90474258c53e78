package org.hornbeamusher.ids;

/**
 * Tells two claims of one idempotency key apart.
 *
 * @param value random text made by the claiming entry
 */
public record ClaimToken(String value) implements Comparable<ClaimToken> {

  /** Refuses a text that is not an identifier. */
  public ClaimToken {
    Identifiers.requireOpaque("ClaimToken", value);
  }

  @Override
  public int compareTo(ClaimToken other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
