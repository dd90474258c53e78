package org.hornbeamusher.entry;

import java.security.SecureRandom;
import java.util.UUID;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.RequestId;

/** Makes request ids: UUIDs of version 7 (RFC 9562), which sort by the time they were made. */
final class RequestIds {

  private static final long VERSION = 0x7000L;
  private static final long VARIANT = 0x8000000000000000L;
  private static final int TIME_SHIFT = 16;
  private static final long RANDOM_A_MASK = 0xfffL;
  private static final long RANDOM_B_MASK = 0x3fffffffffffffffL;

  private final SecureRandom random = new SecureRandom();
  private final Clock clock;

  RequestIds(Clock clock) {
    this.clock = clock;
  }

  RequestId next() {
    long high = (clock.millis() << TIME_SHIFT) | VERSION | (random.nextLong() & RANDOM_A_MASK);
    long low = VARIANT | (random.nextLong() & RANDOM_B_MASK);
    return new RequestId(new UUID(high, low).toString());
  }
}
