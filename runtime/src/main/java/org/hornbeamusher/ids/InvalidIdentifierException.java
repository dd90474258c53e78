package org.hornbeamusher.ids;

/** Thrown for a text that is not a valid identifier of the required type. */
public final class InvalidIdentifierException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private static final int MAX_SHOWN_LENGTH = 80;

  private final String type;

  InvalidIdentifierException(String type, String value) {
    super("not a " + type + ": " + quoted(value));
    this.type = type;
  }

  /**
   * Returns the identifier's type.
   *
   * @return the simple name of the value type that rejected the text
   */
  public String type() {
    return type;
  }

  private static String quoted(String value) {
    if (value == null) {
      return "null";
    }
    String cut =
        value.length() > MAX_SHOWN_LENGTH ? value.substring(0, MAX_SHOWN_LENGTH) + "..." : value;
    return '"' + cut.replaceAll("[^ -~]", "?") + '"';
  }
}
