package org.hornbeamusher.security;

/** A text that is not a token hash; the text itself is kept out of the message. */
public final class InvalidTokenHashException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  InvalidTokenHashException() {
    super("must be 64 hexadecimal digits (SHA-256 of the token)");
  }
}
