package org.hornbeamusher.routes;

/**
 * Identifies an adapter of a base model, independent of its version.
 *
 * @param model the base model
 * @param adapter the adapter's name; empty for the base model alone
 */
public record AdapterKey(String model, String adapter) {

  /**
   * Parses the form used in requests.
   *
   * @param text {@code model} or {@code model/adapter}
   * @return the key
   */
  public static AdapterKey parse(String text) {
    int slash = text.indexOf('/');
    return slash < 0
        ? new AdapterKey(text, "")
        : new AdapterKey(text.substring(0, slash), text.substring(slash + 1));
  }

  /**
   * Returns whether this is the key of the base model itself.
   *
   * @return true if it contains no adapter name
   */
  public boolean isBase() {
    return adapter.isEmpty();
  }

  // The generated methods call a chain of method handles, and each placement compares many keys.
  @Override
  public boolean equals(Object object) {
    return object instanceof AdapterKey other
        && adapter.equals(other.adapter)
        && model.equals(other.model);
  }

  @Override
  public int hashCode() {
    return 31 * model.hashCode() + adapter.hashCode();
  }

  @Override
  public String toString() {
    return isBase() ? model : model + "/" + adapter;
  }
}
