package org.hornbeamusher.ids;

/**
 * A service, the unit that one document describes.
 *
 * @param value for example {@code lm-dispatch}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /** Rejects a value that is not a valid identifier. */
  public ServiceName {
    Identifiers.requireName("ServiceName", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
