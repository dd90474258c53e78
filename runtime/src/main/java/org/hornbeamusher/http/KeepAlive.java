package org.hornbeamusher.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How long a connection may stay idle, by what its server says. */
final class KeepAlive {

  /** The share of the stated time that is used; the rest covers the way and a late timer. */
  private static final double USED_SHARE = 0.7;

  /** Used when the server states nothing; common servers keep a connection for 5 s and more. */
  private static final long DEFAULT_MILLIS = 4_000;

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final long MILLIS_PER_SECOND = 1_000;

  private KeepAlive() {}

  static long usableMillis(HttpHead head) {
    if (closes(head)) {
      return 0;
    }
    Matcher stated = TIMEOUT.matcher(head.first("Keep-Alive").orElse(""));
    if (!stated.find()) {
      return DEFAULT_MILLIS;
    }
    return (long) (Long.parseLong(stated.group(1)) * MILLIS_PER_SECOND * USED_SHARE);
  }

  /** Returns whether any option of any Connection field is "close" (RFC 9110, section 7.6.1). */
  private static boolean closes(HttpHead head) {
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
