package org.hornbeamusher.placement;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * How much capacity the endpoints of a service free in a second under full load.
 *
 * <p>Agents report how long the next adapter waits for a slot of their engine; the duration of runs
 * comes from this entry's own requests. Both have an initial value, so that an entry that has just
 * started states a rate as soon as it knows the endpoints.
 */
public final class ServiceCapacity {

  private static final double MILLIS_PER_SECOND = 1_000;

  private ServiceCapacity() {}

  /**
   * Returns the rate at which adapter slots become free.
   *
   * @param views the known endpoints
   * @param service the service
   * @return slots a second over all usable engines of the service
   */
  public static double adapterSlotsPerSecond(Collection<EndpointView> views, String service) {
    return sum(
        views,
        service,
        view ->
            view.agentConnected()
                ? MILLIS_PER_SECOND / Math.max(1, view.costs().slotWaitMillis())
                : 0);
  }

  /**
   * Returns the rate at which request slots become free.
   *
   * @param views the known endpoints
   * @param service the service
   * @return slots a second over all usable endpoints of the service
   */
  public static double requestSlotsPerSecond(Collection<EndpointView> views, String service) {
    return sum(
        views,
        service,
        view -> MILLIS_PER_SECOND * Math.max(1, view.endpoint().slots()) / runMillis(view));
  }

  /**
   * Returns the shortest time until an engine of a service has no queue for its adapter slots.
   *
   * @param views the known endpoints
   * @param service the service
   * @return milliseconds; 0 if an engine has none now, or if no engine is known
   */
  public static long adapterSlotWaitMillis(Collection<EndpointView> views, String service) {
    return views.stream()
        .filter(view -> isUsable(view, service) && view.agentConnected())
        .mapToLong(view -> view.waitingAdapters() * view.costs().slotWaitMillis())
        .min()
        .orElse(0);
  }

  /**
   * Returns how long requests run at the endpoints of a service.
   *
   * @param views the known endpoints
   * @param service the service
   * @return the mean over all usable endpoints in milliseconds; 0 if there is none
   */
  public static long runMillis(Collection<EndpointView> views, String service) {
    return Math.round(
        views.stream()
            .filter(view -> isUsable(view, service))
            .mapToDouble(ServiceCapacity::runMillis)
            .average()
            .orElse(0));
  }

  /** Endpoints of plain services respond with a complete response, so their latency is the run. */
  private static double runMillis(EndpointView view) {
    double latency = view.health().latencyMillis();
    boolean plain = view.endpoint().slots() > 0 && !view.agentConnected() && latency > 0;
    return Math.max(1, plain ? latency : view.health().runMillis());
  }

  private static double sum(
      Collection<EndpointView> views, String service, ToDoubleFunction<EndpointView> rate) {
    return views.stream().filter(view -> isUsable(view, service)).mapToDouble(rate).sum();
  }

  private static boolean isUsable(EndpointView view, String service) {
    return view.endpoint().service().equals(service) && view.usable();
  }
}
