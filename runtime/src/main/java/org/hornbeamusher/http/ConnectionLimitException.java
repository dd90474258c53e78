package org.hornbeamusher.http;

import java.io.IOException;

/** The maximum number of connections to an origin is open; nothing was sent. */
final class ConnectionLimitException extends IOException {

  private static final long serialVersionUID = 1L;

  ConnectionLimitException(String origin, int limit) {
    super("all " + limit + " connections to " + origin + " are in use");
  }
}
