package org.hornbeamusher.toml;

import java.util.regex.Pattern;

/** Builds full key names, so that the line index and the checker use the same form. */
final class KeyPath {

  private static final Pattern BARE = Pattern.compile("[A-Za-z0-9_-]+");

  private KeyPath() {}

  static String child(String parent, String key) {
    String written = BARE.matcher(key).matches() ? key : '"' + key + '"';
    return parent.isEmpty() ? written : parent + "." + written;
  }

  static String element(String parent, int index) {
    return parent + "[" + index + "]";
  }
}
