package org.hornbeamusher.quarantine;

import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/**
 * Identifies what a caller sends to a path, whatever else the request contains: its host, method,
 * query and headers may change from one try to the next.
 *
 * @param fingerprint hash of the path, the client account and the body
 * @param bodyBytes length of the body
 */
public record PathContent(long fingerprint, int bodyBytes) implements CrashSuspect {

  private static final String PREFIX = "path-";

  /**
   * Computes the identity of a request.
   *
   * @param path the path without the query, decoded
   * @param account name of the client account; empty for an anonymous caller
   * @param body the body
   * @return its identity
   */
  public static PathContent of(String path, Optional<String> account, byte[] body) {
    Map<String, String> caller = account.map(name -> Map.of("account", name)).orElse(Map.of());
    return new PathContent(RequestFingerprint.of("", path, body, caller), body.length);
  }

  /**
   * Parses the form that {@link #toString} returns.
   *
   * @param text for example {@code path-00c3f29a417be8d5-692}
   * @return the identity; empty if the text has another form
   */
  public static Optional<PathContent> parse(String text) {
    return text.startsWith(PREFIX)
        ? RequestContent.parse(text.substring(PREFIX.length()))
            .map(parsed -> new PathContent(parsed.fingerprint(), parsed.bodyBytes()))
        : Optional.empty();
  }

  @Override
  public String toString() {
    return PREFIX + HexFormat.of().toHexDigits(fingerprint) + '-' + bodyBytes;
  }
}
