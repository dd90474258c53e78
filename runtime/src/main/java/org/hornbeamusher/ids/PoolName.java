package org.hornbeamusher.ids;

/**
 * Endpoints that can stand in for each other: the engines of one base model that the partners
 * share, or the instances of one plain service.
 *
 * @param value for example {@code lm-dispatch}
 */
public record PoolName(String value) implements Comparable<PoolName> {

  /** Refuses a text that is not an identifier. */
  public PoolName {
    Identifiers.requireName("PoolName", value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
