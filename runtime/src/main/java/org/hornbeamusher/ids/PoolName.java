package org.hornbeamusher.ids;

/**
 * A group of interchangeable endpoints: the engines of one base model, which the partners share, or
 * the instances of one plain service.
 *
 * @param value for example {@code lm-dispatch}
 */
public record PoolName(String value) implements Comparable<PoolName> {

  /** Rejects a value that is not a valid identifier. */
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
