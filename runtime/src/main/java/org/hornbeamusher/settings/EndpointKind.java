package org.hornbeamusher.settings;

/** Kind of an agent's endpoint. */
public enum EndpointKind {
  /** A model engine that loads adapters. */
  MODEL,
  /** A plain HTTP service. */
  PLAIN;

  /**
   * Parses the value of the setting.
   *
   * @param text {@code model} or {@code plain}
   * @return the kind
   * @throws InvalidSettingException when the text is neither
   */
  public static EndpointKind parse(String text) {
    return switch (text) {
      case "model" -> MODEL;
      case "plain" -> PLAIN;
      default -> throw new InvalidSettingException("must be \"model\" or \"plain\"");
    };
  }
}
