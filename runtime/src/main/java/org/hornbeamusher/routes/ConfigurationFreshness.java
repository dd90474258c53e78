package org.hornbeamusher.routes;

import java.util.OptionalLong;
import org.hornbeamusher.clock.Clock;

/**
 * How old the proof is that the configuration in force is the newest one.
 *
 * <p>An answer of the table service proves that no newer configuration had been acknowledged when
 * its question was <em>sent</em>; it may have taken long to arrive, and a change that was made on
 * the way need not be in it. The age therefore counts from the question.
 *
 * <p>Example: a question is sent at 10 s and answered at 12 s without a change. At 13 s a key may
 * have been taken away up to three seconds ago.
 */
public final class ConfigurationFreshness {

  private final Clock clock;
  private OptionalLong provenMillis = OptionalLong.empty();
  private boolean superseded;

  /**
   * Creates a holder without a proof.
   *
   * @param clock counts the time for which the instance was suspended, too
   */
  public ConfigurationFreshness(Clock clock) {
    this.clock = clock;
  }

  /**
   * An answer was read, and what it holds is in force.
   *
   * @param askedMillis when its question was sent, by this object's clock
   */
  public void confirmed(long askedMillis) {
    if (!superseded && askedMillis > provenMillis.orElse(Long.MIN_VALUE)) {
      provenMillis = OptionalLong.of(askedMillis);
    }
  }

  /** A newer configuration exists and cannot be read. Nothing is proven until one can. */
  public void superseded() {
    superseded = true;
  }

  /** A configuration was read. */
  public void read() {
    superseded = false;
  }

  /**
   * Returns the age of the proof.
   *
   * @return milliseconds; {@link Long#MAX_VALUE} without a proof
   */
  public long ageMillis() {
    return provenMillis.isPresent() ? clock.millis() - provenMillis.getAsLong() : Long.MAX_VALUE;
  }
}
