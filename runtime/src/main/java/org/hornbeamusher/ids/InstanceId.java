package org.hornbeamusher.ids;

/**
 * A process of the system, as named in settings and certificates.
 *
 * @param value for example {@code marka-entry-1}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Rejects a value that is not a valid identifier. */
  public InstanceId {
    Identifiers.requireName("InstanceId", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
