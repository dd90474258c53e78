package org.hornbeamusher.toml;

/**
 * One problem in a TOML text.
 *
 * @param file name of the file that the text was read from
 * @param line line number from 1; 0 when the problem concerns the whole file
 * @param key the full key, for example {@code caller[0].partner}; empty when the problem concerns
 *     the whole file
 * @param kind the kind of problem
 * @param detail what was expected
 */
public record Problem(String file, int line, String key, Kind kind, String detail) {

  /** Kind of problem. */
  public enum Kind {
    /** The text is not TOML. */
    SYNTAX,
    /** The key is not known; most often it is misspelt. */
    UNKNOWN_KEY,
    /** A required key is absent. */
    MISSING_KEY,
    /** The value does not have the type that the key requires. */
    WRONG_TYPE,
    /** The value is a number outside its range. */
    OUT_OF_RANGE,
    /** The value has the right type but is invalid. */
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
