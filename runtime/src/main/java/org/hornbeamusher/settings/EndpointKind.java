package org.hornbeamusher.settings;

/** What an agent's endpoint runs. */
public enum EndpointKind {
  /** A model engine that holds adapters. */
  MODEL,
  /** A plain HTTP service. */
  PLAIN;

  /**
   * Reads the written form.
   *
   * @param text {@code model} or {@code plain}
   * @return the kind
   * @throws InvalidSettingException when the text is another one
   */
  public static EndpointKind parse(String text) {
    return switch (text) {
      case "model" -> MODEL;
      case "plain" -> PLAIN;
      default -> throw new InvalidSettingException("must be \"model\" or \"plain\"");
    };
  }
}
