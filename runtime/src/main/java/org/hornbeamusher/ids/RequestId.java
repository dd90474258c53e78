package org.hornbeamusher.ids;

/**
 * One request of a caller, made by the entry that received it.
 *
 * @param value a UUIDv7 in text
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Refuses a text that is not an identifier. */
  public RequestId {
    Identifiers.requireOpaque("RequestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
