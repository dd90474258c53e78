package org.hornbeamusher.recovery;

import java.util.Optional;

/**
 * An agent's permits for loads from the weight store. Decides whether a load may begin, and when to
 * request permits from the coordinator. Confined to one thread.
 *
 * <p>An agent is in one of three modes:
 *
 * <ul>
 *   <li>{@code UNPACED}: the coordinator has stated that loads need no permits;
 *   <li>{@code PACED}: each load needs a permit of the coordinator;
 *   <li>{@code SELF_PACED}: there is no coordinator, or it does not respond. The agent relies on
 *       the duration of its own loads ({@code LoadConcurrencyWindow}).
 * </ul>
 *
 * <p>A new coordinator, and an engine that has loaded its base model, begin in {@code PACED}:
 * engines tend to restart together, and nothing is known of the others yet. A load is delayed by a
 * round trip then, and by {@link #RESPONSE_TIMEOUT_MILLIS} if the coordinator is silent. A load
 * that has waited for a permit for {@link #MIN_GUARD_MILLIS}, and twice as long as the coordinator
 * has estimated, begins without one, so that a faulty coordinator cannot stop all loads.
 */
public final class LoadPermits {

  /** Time within which a coordinator responds, even one with little processor time. */
  static final long RESPONSE_TIMEOUT_MILLIS = 100;

  /** Requests are repeated at this interval while adapters are wanted. */
  static final long REPEAT_MILLIS = 200;

  /** Minimum interval of requests that only update the demand. */
  static final long MIN_INTERVAL_MILLIS = 50;

  /** Wait after which a load begins without a permit while no other load is in progress. */
  static final long MIN_GUARD_MILLIS = 1_000;

  /** How the start of loads is decided. */
  public enum Mode {
    /** Loads need no permits. */
    UNPACED,
    /** Each load needs a permit. */
    PACED,
    /** No coordinator responds; the agent limits its loads itself. */
    SELF_PACED
  }

  private Mode mode = Mode.SELF_PACED;

  /** Counts the coordinators; 0 while there was none. */
  private long epoch;

  private boolean coordinatorKnown;
  private StoreLoadDemand demand = StoreLoadDemand.NONE;

  /** Since when the agent has been waiting for a permit; negative while it is not. */
  private long waitingSinceMillis = -1;

  private long granted;
  private long used;
  private long grantedAtMillis;
  private long waitMillis;
  private int concurrencyLimit;

  /** Duration of the last load since the last request; 0 if there was none. */
  private long lastLoadMillis;

  private LoadPermitRequest lastRequest;
  private long lastRequestMillis;

  /** When the first request without a response was sent; negative if all were answered. */
  private long unansweredSinceMillis = -1;

  /**
   * Returns the mode.
   *
   * @return how the start of loads is decided
   */
  public Mode mode() {
    return mode;
  }

  /** Begins to use another coordinator; permits of the previous one are void. */
  public void coordinatorChosen() {
    epoch++;
    coordinatorKnown = true;
    mode = Mode.PACED;
    granted = 0;
    used = 0;
    waitMillis = 0;
    lastRequest = null;
    unansweredSinceMillis = -1;
  }

  /** Handles the loss of the coordinator, or its silence. */
  public void coordinatorLost() {
    coordinatorKnown = false;
    mode = Mode.SELF_PACED;
    waitMillis = 0;
  }

  /**
   * Handles an engine that can load adapters from now on, because its base model is loaded. While
   * many engines load their base models after a restart, the weight store is idle, and the
   * coordinator has stated that no permits are needed.
   */
  public void engineReady() {
    waitingSinceMillis = -1;
    if (mode == Mode.UNPACED) {
      mode = Mode.PACED;
      lastRequest = null;
    }
  }

  /**
   * Records what the engine is to load next.
   *
   * @param wanted the adapters that could be loaded at once
   * @param now milliseconds
   */
  public void updateDemand(StoreLoadDemand wanted, long now) {
    demand = wanted;
    if (wanted.adapters() == 0) {
      waitingSinceMillis = -1;
    } else if (waitingSinceMillis < 0) {
      waitingSinceMillis = now;
    }
    if (granted > used && now - grantedAtMillis >= LoadPermitAllocator.PERMIT_LIFETIME_MILLIS) {
      used = granted;
    }
  }

  /**
   * Decides whether a load from the store may begin.
   *
   * @param loads the loads that the engine has in progress
   * @param selfPacedLimit how many it may have in progress by the duration of its own loads
   * @param now milliseconds
   * @return whether a load may begin
   */
  public boolean mayLoad(int loads, int selfPacedLimit, long now) {
    if (loads >= LoadPermitAllocator.MAX_LOADS_PER_ENGINE) {
      return false;
    }
    return switch (mode) {
      case UNPACED, SELF_PACED -> loads < selfPacedLimit;
      case PACED -> granted > used || (loads == 0 && waitedTooLong(now));
    };
  }

  private boolean waitedTooLong(long now) {
    return waitingSinceMillis >= 0
        && now - waitingSinceMillis >= Math.max(MIN_GUARD_MILLIS, 2 * waitMillis);
  }

  /** Records that a load from the store has begun. */
  public void loadStarted() {
    waitingSinceMillis = -1;
    if (granted > used) {
      used++;
    }
  }

  /**
   * Records the duration of a load from the store.
   *
   * @param tookMillis from the order to the report of the engine
   */
  public void loadCompleted(long tookMillis) {
    lastLoadMillis = tookMillis;
  }

  /**
   * Returns whether the coordinator has not responded in time.
   *
   * @param now milliseconds
   * @return whether another coordinator is to be chosen
   */
  public boolean coordinatorSilent(long now) {
    return coordinatorKnown
        && unansweredSinceMillis >= 0
        && now - unansweredSinceMillis >= RESPONSE_TIMEOUT_MILLIS;
  }

  /**
   * Applies a response of the coordinator.
   *
   * @param response the response; ignored if it belongs to an earlier epoch
   * @param now milliseconds
   * @return whether the mode has changed
   */
  public boolean received(LoadPermitResponse response, long now) {
    if (!coordinatorKnown || response.epoch() != epoch) {
      return false;
    }
    unansweredSinceMillis = -1;
    if (response.grantedPermits() > granted) {
      granted = response.grantedPermits();
      grantedAtMillis = now;
    }
    waitMillis = response.waitMillis();
    concurrencyLimit = response.concurrencyLimit();
    Mode before = mode;
    mode = response.paced() ? Mode.PACED : Mode.UNPACED;
    return mode != before;
  }

  /**
   * Returns the request that is due. While loads need no permits, none is.
   *
   * @param now milliseconds
   * @return the request to send, or empty
   */
  public Optional<LoadPermitRequest> dueRequest(long now) {
    if (!coordinatorKnown) {
      return Optional.empty();
    }
    StoreLoadDemand stated = mode == Mode.PACED ? demand : StoreLoadDemand.NONE;
    if (lastRequest != null && !isDue(stated, now)) {
      return Optional.empty();
    }
    int knownLimit = lastRequest == null ? concurrencyLimit : 0;
    lastRequest = new LoadPermitRequest(epoch, stated, used, lastLoadMillis, knownLimit);
    lastLoadMillis = 0;
    lastRequestMillis = now;
    if (unansweredSinceMillis < 0) {
      unansweredSinceMillis = now;
    }
    return Optional.of(lastRequest);
  }

  private boolean isDue(StoreLoadDemand stated, long now) {
    if (mode == Mode.UNPACED) {
      return false;
    }
    boolean began = stated.adapters() > 0 && lastRequest.demand().adapters() == 0;
    if (began || used != lastRequest.usedPermits()) {
      return true;
    }
    long sinceLast = now - lastRequestMillis;
    boolean changed = !stated.equals(lastRequest.demand()) || lastLoadMillis > 0;
    return (changed && sinceLast >= MIN_INTERVAL_MILLIS)
        || (stated.adapters() > 0 && sinceLast >= REPEAT_MILLIS);
  }

  /**
   * Returns the estimated time until a load that is wanted now begins.
   *
   * @return milliseconds, as the coordinator has stated; 0 while loads are not paced
   */
  public long waitMillis() {
    return mode == Mode.PACED ? waitMillis : 0;
  }
}
