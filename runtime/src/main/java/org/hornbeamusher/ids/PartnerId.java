package org.hornbeamusher.ids;

/**
 * One of the organisations that share the capacity of the system.
 *
 * @param value for example {@code zarqa}
 */
public record PartnerId(String value) implements Comparable<PartnerId> {

  /** Rejects a value that is not a valid identifier. */
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
