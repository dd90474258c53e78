package org.hornbeamusher.directory;

import org.hornbeamusher.routes.AdapterKey;

/**
 * An adapter, or a base model, in an engine's memory.
 *
 * @param key which one
 * @param version its version
 */
public record HeldAdapter(AdapterKey key, long version) {

  private static final char SEPARATOR = '@';

  /**
   * Reads the form that {@link #toString} gives.
   *
   * @param text for example {@code model/adapter@3}
   * @return the adapter and version
   * @throws IllegalArgumentException without a version
   */
  public static HeldAdapter parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    if (at < 0) {
      throw new IllegalArgumentException(text);
    }
    return new HeldAdapter(
        AdapterKey.parse(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
  }

  @Override
  public String toString() {
    return key.toString() + SEPARATOR + version;
  }
}
