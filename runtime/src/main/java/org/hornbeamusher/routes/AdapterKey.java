package org.hornbeamusher.routes;

/**
 * An adapter of a base model, whatever its version.
 *
 * @param model the base model
 * @param adapter the adapter's name; empty for the base model alone
 */
public record AdapterKey(String model, String adapter) {

  /**
   * Reads the form that requests carry.
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
   * Tells whether the base model is meant.
   *
   * @return true when no adapter is named
   */
  public boolean isBase() {
    return adapter.isEmpty();
  }

  @Override
  public String toString() {
    return isBase() ? model : model + "/" + adapter;
  }
}
