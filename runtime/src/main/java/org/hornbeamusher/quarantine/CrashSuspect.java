package org.hornbeamusher.quarantine;

import java.util.Optional;

/**
 * What requests have in common that may be the cause of crashes: their whole content; their path,
 * client account and body; or a part of their prompts.
 */
public sealed interface CrashSuspect permits RequestContent, PathContent, PromptPartId {

  /**
   * Parses the form that {@code toString} returns.
   *
   * @param text for example {@code 00c3f29a417be8d5-692}, {@code path-00c3f29a417be8d5-692} or
   *     {@code part-91bd3f06}
   * @return the suspect; empty if the text has another form
   */
  static Optional<CrashSuspect> parse(String text) {
    return PromptPartId.parse(text)
        .<CrashSuspect>map(part -> part)
        .or(() -> PathContent.parse(text))
        .or(() -> RequestContent.parse(text));
  }
}
