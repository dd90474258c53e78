package org.hornbeamusher.ids;

/**
 * A back end that runs requests: a model engine or a plain service.
 *
 * @param value for example {@code lm-dispatch-3}
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Rejects a value that is not a valid identifier. */
  public EndpointId {
    Identifiers.requireName("EndpointId", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  // The generated methods call a chain of method handles, and each placement compares many keys.
  @Override
  public boolean equals(Object object) {
    return object instanceof EndpointId other && value.equals(other.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
