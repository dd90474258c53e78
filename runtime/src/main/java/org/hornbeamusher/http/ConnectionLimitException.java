package org.hornbeamusher.http;

import java.io.IOException;

/** As many connections to an origin are open as may be; nothing was sent. */
final class ConnectionLimitException extends IOException {

  private static final long serialVersionUID = 1L;

  ConnectionLimitException(String origin, int most) {
    super("all " + most + " connections to " + origin + " are in use");
  }
}
