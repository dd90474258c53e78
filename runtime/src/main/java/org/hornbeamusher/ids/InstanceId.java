package org.hornbeamusher.ids;

/**
 * A process of the system, as settings and certificates name it.
 *
 * @param value for example {@code marka-entry-1}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Refuses a text that is not an identifier. */
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
