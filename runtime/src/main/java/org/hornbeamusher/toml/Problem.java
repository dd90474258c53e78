package org.hornbeamusher.toml;

/**
 * One fault in a TOML text.
 *
 * @param file the name the text was read under
 * @param line where it is, from 1; 0 when the fault belongs to the file as a whole
 * @param key the full key, for example {@code caller[0].partner}; empty for the file as a whole
 * @param kind what is wrong
 * @param detail what was expected, in a few words
 */
public record Problem(String file, int line, String key, Kind kind, String detail) {

  /** What may be wrong with a TOML text. */
  public enum Kind {
    /** The text is not TOML. */
    SYNTAX,
    /** Nothing reads this key; most often it is misspelt. */
    UNKNOWN_KEY,
    /** A required key is absent. */
    MISSING_KEY,
    /** The value has another type than the key wants. */
    WRONG_TYPE,
    /** The value is a number outside its range. */
    OUT_OF_RANGE,
    /** The value has the right type and still cannot be used. */
    INVALID_VALUE,
    /** The file, or a file that it names, cannot be read. */
    UNREADABLE
  }

  @Override
  public String toString() {
    String name = kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    String place = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return place + ": " + subject + name + ": " + detail;
  }
}
