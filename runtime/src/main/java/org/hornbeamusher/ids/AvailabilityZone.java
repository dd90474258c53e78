package org.hornbeamusher.ids;

/**
 * An availability zone.
 *
 * @param value for example {@code marka}
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

  /** Rejects a value that is not a valid identifier. */
  public AvailabilityZone {
    Identifiers.requireName("AvailabilityZone", value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
