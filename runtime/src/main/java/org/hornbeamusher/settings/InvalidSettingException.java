package org.hornbeamusher.settings;

/** A value that a setting cannot have; the message says what it may be. */
final class InvalidSettingException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  InvalidSettingException(String expected) {
    super(expected);
  }
}
