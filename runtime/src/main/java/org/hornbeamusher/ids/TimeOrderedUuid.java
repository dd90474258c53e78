package org.hornbeamusher.ids;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Generates UUIDs of version 7 (RFC 9562): 48 bits of time, then random bits. */
public final class TimeOrderedUuid {

  private static final long VERSION = 0x7000L;
  private static final long VARIANT = 0x8000000000000000L;
  private static final int TIME_SHIFT = 16;
  private static final long RANDOM_A_MASK = 0xfffL;
  private static final long RANDOM_B_MASK = 0x3fffffffffffffffL;

  private TimeOrderedUuid() {}

  /**
   * Generates a UUID.
   *
   * @param millis the timestamp of the UUID, in milliseconds since the epoch
   * @param random source of the other bits
   * @return the UUID
   */
  public static UUID of(long millis, RandomGenerator random) {
    long high = (millis << TIME_SHIFT) | VERSION | (random.nextLong() & RANDOM_A_MASK);
    long low = VARIANT | (random.nextLong() & RANDOM_B_MASK);
    return new UUID(high, low);
  }
}
