package org.hornbeamusher.ids;

/**
 * Who sends requests, as the entry's settings name it.
 *
 * @param value for example {@code roster-desk}
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /** Refuses a text that is not an identifier. */
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
