package org.hornbeamusher.ids;

/**
 * The team that owns a service document, unique within its partner.
 *
 * @param value for example {@code dispatch}
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Rejects a value that is not a valid identifier. */
  public TeamId {
    Identifiers.requireName("TeamId", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
