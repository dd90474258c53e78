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

  @Override
  public String toString() {
    return value;
  }
}
