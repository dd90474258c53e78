package org.hornbeamusher.settings;

/** Thrown for an invalid value of a setting; the message states the allowed values. */
final class InvalidSettingException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  InvalidSettingException(String expected) {
    super(expected);
  }
}
