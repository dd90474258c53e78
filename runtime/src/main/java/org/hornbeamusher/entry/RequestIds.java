package org.hornbeamusher.entry;

import java.security.SecureRandom;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.RequestId;
import org.hornbeamusher.ids.TimeOrderedUuid;

/** Generates request ids, which sort by their creation time. */
final class RequestIds {

  private final SecureRandom random = new SecureRandom();
  private final Clock clock;

  RequestIds(Clock clock) {
    this.clock = clock;
  }

  RequestId next() {
    return new RequestId(TimeOrderedUuid.of(clock.millis(), random).toString());
  }
}
