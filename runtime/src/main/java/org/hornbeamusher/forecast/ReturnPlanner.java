package org.hornbeamusher.forecast;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ratelimit.SlidingWindowCounter;

/**
 * Plans when refused callers return, from the capacity that becomes free for them.
 *
 * <p><b>Load.</b> In a burst an entry refuses many callers within a moment, and all of them have
 * about the same time left. With a Retry-After that is a fraction of that time they return together
 * and are refused together; most callers return only once.
 *
 * <p>The capacity of the service that becomes free in a second is known from what endpoints and
 * their agents report. This entry's part of it is an even share, or what its own requests took
 * recently if that is more. New requests take most of it; what they leave is for returning callers,
 * and at least a fixed part, because those who were refused have waited longer than those who
 * arrive.
 *
 * <p>An entry that has just started has taken nothing yet, so it counts on its even share of what
 * is reported. If nothing is reported either, the schedule falls back to a slow fixed rate.
 *
 * <p>A caller that returned while those run that ran when it was refused would meet the same load,
 * so it returns after the runs of these and of those that waited beside it.
 *
 * <p>A caller waits for a third of its time at most and needs the rest to be served, so a later
 * return is not promised.
 */
public final class ReturnPlanner {

  /** A shorter time is no pause. */
  static final long MIN_RETURN_MILLIS = 15;

  /** No deadline is longer, so a later time says no more. */
  static final long MAX_RETURN_MILLIS = 60_000;

  private static final int USABLE_TIME_DIVISOR = 3;

  /** Part of the capacity that is left to returning callers however many new ones arrive. */
  private static final double MIN_RETURN_SHARE = 0.25;

  /** A caller that returns earlier meets the same running and waiting requests. */
  private static final int RUNS_BEFORE_RETURN = 2;

  /** Part of the usable time that a caller waits for runs to end. */
  private static final double MAX_WAIT_FOR_RUNS = 0.75;

  private static final long TAKEN_WINDOW_MILLIS = 2_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<Resource, ResourceState> resources = new HashMap<>();

  /**
   * Records that a request of this entry takes capacity.
   *
   * @param service the service
   * @param capacity what it takes
   * @param now milliseconds
   */
  public void taken(String service, Capacity capacity, long now) {
    state(service, capacity).taken.add(now);
  }

  /**
   * Plans the return of a refused caller.
   *
   * @param refused the caller's request
   * @param freed what becomes free
   * @param position where in its interval the caller returns, from 0 to below 1
   * @param now milliseconds
   * @return the plan
   */
  public Plan plan(Refused refused, FreedCapacity freed, double position, long now) {
    ResourceState state = state(refused.service(), refused.capacity());
    double takenPerSecond = state.takenPerSecond(now);
    double share = Math.max(takenPerSecond, freed.perSecond() / Math.max(1, freed.entries()));
    double forReturns = Math.max(share - takenPerSecond, share * MIN_RETURN_SHARE);
    long latest =
        Math.min(
            refused.timeLeftMillis() / USABLE_TIME_DIVISOR,
            refused.timeLeftMillis() - refused.serviceMillis());
    long earliest = earliestMillis(refused, latest);
    ReturnTime time = state.returns.next(now, earliest, latest, forReturns, position);
    return new Plan(bounded(time), forReturns, state.returns.promisedMillis(now));
  }

  /**
   * Returns the time at which the requests that run now, and then those that wait now, have ended.
   * If the caller cannot wait for that long, it waits for most of what it can, and the rest is left
   * to spread the returns.
   */
  private static long earliestMillis(Refused refused, long latestMillis) {
    long runs =
        Math.min(
            RUNS_BEFORE_RETURN * refused.runMillis(), Math.round(latestMillis * MAX_WAIT_FOR_RUNS));
    return Math.max(MIN_RETURN_MILLIS, Math.max(refused.queueMillis(), runs));
  }

  private static ReturnTime bounded(ReturnTime time) {
    return time.millis() > MAX_RETURN_MILLIS ? new ReturnTime.TooLate(MAX_RETURN_MILLIS) : time;
  }

  /**
   * Returns for how long capacity is promised to returning callers.
   *
   * @param now milliseconds
   * @return the longest time over all services
   */
  public long promisedMillis(long now) {
    return resources.values().stream()
        .mapToLong(state -> state.returns.promisedMillis(now))
        .max()
        .orElse(0);
  }

  private ResourceState state(String service, Capacity capacity) {
    return resources.computeIfAbsent(
        new Resource(service, capacity), unused -> new ResourceState());
  }

  /**
   * A refused request.
   *
   * @param service its service
   * @param capacity what it was refused for want of
   * @param queueMillis time until those that wait for that capacity now have it
   * @param runMillis mean duration of the requests that use that capacity
   * @param timeLeftMillis time until its deadline
   * @param serviceMillis time that it needs once it has capacity
   */
  public record Refused(
      String service,
      Capacity capacity,
      long queueMillis,
      long runMillis,
      long timeLeftMillis,
      long serviceMillis) {}

  /**
   * Capacity of a service that becomes free.
   *
   * @param perSecond requests a second, over all endpoints
   * @param entries the entries that share it
   */
  public record FreedCapacity(double perSecond, int entries) {}

  /**
   * The plan for one caller.
   *
   * @param time when it returns
   * @param perSecond capacity for returning callers at this entry, in requests a second
   * @param promisedMillis for how long that capacity is promised
   */
  public record Plan(ReturnTime time, double perSecond, long promisedMillis) {}

  private record Resource(String service, Capacity capacity) {}

  /** The state of one kind of capacity of one service. */
  private static final class ResourceState {

    private final ReturnSchedule returns = new ReturnSchedule();
    private final SlidingWindowCounter taken = new SlidingWindowCounter(TAKEN_WINDOW_MILLIS);

    double takenPerSecond(long now) {
      return taken.total(now) * MILLIS_PER_SECOND / TAKEN_WINDOW_MILLIS;
    }
  }
}
