package org.hornbeamusher.security;

/** Thrown for a text that is not a token hash; the message does not contain the text. */
public final class InvalidTokenHashException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  InvalidTokenHashException() {
    super("must be 64 hexadecimal digits (SHA-256 of the token)");
  }
}
