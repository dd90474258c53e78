package org.hornbeamusher.routes;

import java.util.OptionalLong;
import org.hornbeamusher.clock.Clock;

/**
 * Tracks the age of the last proof that the current configuration is the newest one.
 *
 * <p>A response of the table service proves that no newer configuration had been acknowledged when
 * its request was <em>sent</em>. The response may take long to arrive, and need not contain a
 * change that was made in the meantime. The age is therefore measured from the request.
 *
 * <p>Example: a request is sent at 10 s, and at 12 s a response without changes arrives. At 13 s a
 * key may have been revoked up to three seconds ago.
 */
public final class ConfigurationFreshness {

  private final Clock clock;
  private OptionalLong provenMillis = OptionalLong.empty();
  private boolean superseded;

  /**
   * Creates a tracker without a proof.
   *
   * @param clock a clock that also advances while the instance is suspended
   */
  public ConfigurationFreshness(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that a response was read and its content applied.
   *
   * @param requestedMillis when its request was sent, by this object's clock
   */
  public void confirmed(long requestedMillis) {
    if (!superseded && requestedMillis > provenMillis.orElse(Long.MIN_VALUE)) {
      provenMillis = OptionalLong.of(requestedMillis);
    }
  }

  /**
   * Records that a newer configuration exists and is unreadable. No response counts as a proof
   * until a configuration has been read again.
   */
  public void superseded() {
    superseded = true;
  }

  /** Records that a configuration was read. */
  public void read() {
    superseded = false;
  }

  /**
   * Returns the age of the proof.
   *
   * @return milliseconds since the request of the last proof; {@link Long#MAX_VALUE} without a
   *     proof
   */
  public long ageMillis() {
    return provenMillis.isPresent() ? clock.millis() - provenMillis.getAsLong() : Long.MAX_VALUE;
  }
}
