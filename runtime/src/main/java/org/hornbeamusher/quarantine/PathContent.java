package org.hornbeamusher.quarantine;

import java.net.URI;
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

  /** Any host; only the path of the URI is used. */
  private static final String ORIGIN = "http://host";

  /**
   * Computes the identity of a request.
   *
   * @param path the path without the query; one that is percent-encoded differently is the same
   * @param account name of the client account; empty for an anonymous caller
   * @param body the body
   * @return its identity
   */
  public static PathContent of(String path, Optional<String> account, byte[] body) {
    Map<String, String> caller = account.map(name -> Map.of("account", name)).orElse(Map.of());
    return new PathContent(RequestFingerprint.of("", decoded(path), body, caller), body.length);
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

  private static String decoded(String path) {
    try {
      String decoded = URI.create(ORIGIN + path).getPath();
      return decoded == null ? path : decoded;
    } catch (IllegalArgumentException e) {
      // Not a valid path, but an endpoint may accept it.
      return path;
    }
  }

  @Override
  public String toString() {
    return PREFIX + HexFormat.of().toHexDigits(fingerprint) + '-' + bodyBytes;
  }
}
