package org.hornbeamusher.directory;

import org.hornbeamusher.routes.AdapterKey;

/**
 * A version of an adapter or of a base model.
 *
 * @param key the adapter or base model
 * @param version its version
 */
public record AdapterVersion(AdapterKey key, long version) {

  private static final char SEPARATOR = '@';

  /**
   * Parses the form returned by {@link #toString}.
   *
   * @param text for example {@code model/adapter@3}
   * @return the adapter and version
   * @throws IllegalArgumentException if the text has no valid version
   */
  public static AdapterVersion parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    if (at < 0) {
      throw new IllegalArgumentException(text);
    }
    return new AdapterVersion(
        AdapterKey.parse(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
  }

  // The generated methods call a chain of method handles, and each placement compares many keys.
  @Override
  public boolean equals(Object object) {
    return object instanceof AdapterVersion other
        && version == other.version
        && key.equals(other.key);
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(version);
  }

  @Override
  public String toString() {
    return key.toString() + SEPARATOR + version;
  }
}
