package org.hornbeamusher.ids;

/** A text that cannot be the identifier it was given as. */
public final class InvalidIdentifierException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private static final int SHOWN_LENGTH = 80;

  private final String type;

  InvalidIdentifierException(String type, String value) {
    super("not a " + type + ": " + shown(value));
    this.type = type;
  }

  /**
   * Returns the identifier's type.
   *
   * @return the simple name of the value type that refused the text
   */
  public String type() {
    return type;
  }

  private static String shown(String value) {
    if (value == null) {
      return "null";
    }
    String cut = value.length() > SHOWN_LENGTH ? value.substring(0, SHOWN_LENGTH) + "..." : value;
    return '"' + cut.replaceAll("[^ -~]", "?") + '"';
  }
}
