package org.hornbeamusher.ids;

/**
 * A sender of requests, as named in the entry's settings.
 *
 * @param value for example {@code roster-desk}
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /** Rejects a value that is not a valid identifier. */
  public CallerId {
    Identifiers.requireName("CallerId", value);
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
