package org.hornbeamusher.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides for how long an idle connection may be reused, by the headers of the last response on it.
 */
final class KeepAlive {

  /**
   * The fraction of the stated timeout that is used; the rest allows for network latency and late
   * timers.
   */
  private static final double USABLE_FRACTION = 0.7;

  /**
   * Used when the server states no timeout; common servers keep idle connections for at least 5 s.
   */
  private static final long DEFAULT_USABLE_MILLIS = 4_000;

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final long MILLIS_PER_SECOND = 1_000;

  private KeepAlive() {}

  static long usableMillis(HttpHead head) {
    if (hasCloseOption(head)) {
      return 0;
    }
    Matcher stated = TIMEOUT.matcher(head.first("Keep-Alive").orElse(""));
    if (!stated.find()) {
      return DEFAULT_USABLE_MILLIS;
    }
    return (long) (Long.parseLong(stated.group(1)) * MILLIS_PER_SECOND * USABLE_FRACTION);
  }

  /** Returns whether any option of any Connection header is "close" (RFC 9110, section 7.6.1). */
  private static boolean hasCloseOption(HttpHead head) {
    for (HttpHeader header : head.headers()) {
      if (header.hasName("connection")) {
        for (String option : header.value().split(",")) {
          if (option.trim().equalsIgnoreCase("close")) {
            return true;
          }
        }
      }
    }
    return false;
  }
}
