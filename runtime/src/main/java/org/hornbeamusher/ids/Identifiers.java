package org.hornbeamusher.ids;

import java.util.regex.Pattern;

/** The two syntaxes of identifiers. */
final class Identifiers {

  /** Greatest length of a name, in characters; it keeps rows and metric names readable. */
  static final int MAX_NAME_LENGTH = 64;

  /** Greatest length of an opaque identifier, in characters. */
  static final int MAX_OPAQUE_LENGTH = 128;

  private static final Pattern NAME =
      Pattern.compile("[a-z0-9][a-z0-9._-]{0," + (MAX_NAME_LENGTH - 1) + "}");
  private static final Pattern OPAQUE = Pattern.compile("[!-~]{1," + MAX_OPAQUE_LENGTH + "}");

  private Identifiers() {}

  static void requireName(String type, String value) {
    require(type, value, NAME);
  }

  static void requireOpaque(String type, String value) {
    require(type, value, OPAQUE);
  }

  private static void require(String type, String value, Pattern pattern) {
    if (value == null || !pattern.matcher(value).matches()) {
      throw new InvalidIdentifierException(type, value);
    }
  }
}
