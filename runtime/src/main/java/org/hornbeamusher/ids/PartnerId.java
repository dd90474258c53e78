package org.hornbeamusher.ids;

/**
 * One of the organisations that pool capacity.
 *
 * @param value for example {@code zarqa}
 */
public record PartnerId(String value) implements Comparable<PartnerId> {

  /** Refuses a text that is not an identifier. */
  public PartnerId {
    Identifiers.requireName("PartnerId", value);
  }

  @Override
  public int compareTo(PartnerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
