package org.hornbeamusher.ids;

/**
 * A LoRA adapter of a service, without its version.
 *
 * @param value for example {@code roster-0017}
 */
public record AdapterName(String value) implements Comparable<AdapterName> {

  /** Rejects a value that is not a valid identifier. */
  public AdapterName {
    Identifiers.requireName("AdapterName", value);
  }

  @Override
  public int compareTo(AdapterName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
