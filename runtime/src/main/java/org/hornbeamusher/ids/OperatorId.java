package org.hornbeamusher.ids;

/**
 * A person or automation that changes documents for a team.
 *
 * @param value for example {@code night-batch}
 */
public record OperatorId(String value) implements Comparable<OperatorId> {

  /** Rejects a value that is not a valid identifier. */
  public OperatorId {
    Identifiers.requireName("OperatorId", value);
  }

  @Override
  public int compareTo(OperatorId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
