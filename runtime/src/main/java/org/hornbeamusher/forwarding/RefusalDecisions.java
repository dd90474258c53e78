package org.hornbeamusher.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.features.ServingFeature;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.forecast.Capacity;
import org.hornbeamusher.forecast.FirstEventForecast;
import org.hornbeamusher.forecast.ForecastErrors;
import org.hornbeamusher.forecast.LateRequestPolicy;
import org.hornbeamusher.forecast.ReturnPlanner;
import org.hornbeamusher.forecast.ReturnTime;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.placement.ServiceCapacity;

/**
 * Decides which requests are refused because they cannot be served in time, and when their callers
 * return.
 *
 * <p>A request is looked at when it is placed, and every {@link
 * ForwardedRequest#PLACEMENT_RETRY_MILLIS} while it is held or waits for its adapter. What decides
 * is the forecast of its first event ({@link LateRequestPolicy}); when the caller returns follows
 * from the capacity that becomes free ({@link ReturnPlanner}).
 *
 * <p>Without {@link ServingFeature#FORECAST} a request is refused by the uncorrected estimate when
 * it cannot meet its deadline, or when its target latency has passed at an engine that lacks
 * adapter slots, and Retry-After is a fraction of the caller's time ({@link RetryAfterPolicy}).
 *
 * <p>All state belongs to this entry and is lost with it. Endpoints that are gone are no longer
 * counted as capacity, so promises made before are kept by those that remain or lead to another
 * refusal, with a new time.
 */
final class RefusalDecisions {

  /** No response arrives within this time, so a request with less time left is not sent. */
  private static final long MIN_SEND_MILLIS = 15;

  private final boolean forecasts;
  private final Placer placer;
  private final IntSupplier entries;
  private final DoubleSupplier random;
  private final ForwardMetrics metrics;
  private final ForecastErrors errors = new ForecastErrors();
  private final ReturnPlanner returns = new ReturnPlanner();

  RefusalDecisions(
      ServingFeatures features,
      Placer placer,
      IntSupplier entries,
      DoubleSupplier random,
      ForwardMetrics metrics) {
    this.forecasts = features.uses(ServingFeature.FORECAST);
    this.placer = placer;
    this.entries = entries;
    this.random = random;
    this.metrics = metrics;
  }

  /** Decides about a request for which an endpoint was chosen. */
  PlacementDecision atPlacement(Candidate request, Placement.Assigned at, long now) {
    if (at.rateWaitMillis() > Math.max(0, request.targetLeftMillis(now))) {
      return new PlacementDecision.Refuse(
          notRun(FailureType.ENDPOINT_LIMITED, request.service()).retryAfter(at.rateWaitMillis()));
    }
    if (request.startLeftMillis(now) < MIN_SEND_MILLIS) {
      return new PlacementDecision.Refuse(notRun(FailureType.DEADLINE_TOO_NEAR));
    }
    FirstEventForecast forecast = forecast(request, at, now);
    boolean othersWait = forecasts && !at.canStartNow() && othersWait(request, at.endpoint(), now);
    LateRequestPolicy.Decision decision =
        decide(request, forecast, estimate(request, at).serviceMillis(), othersWait, now);
    if (decision == LateRequestPolicy.Decision.HELD) {
      return new PlacementDecision.Hold();
    }
    return refusal("placement", request, at.endpoint(), forecast, decision, now)
        .<PlacementDecision>map(PlacementDecision.Refuse::new)
        .orElseGet(() -> new PlacementDecision.Place(at));
  }

  /** Returns when a request would get its first event at the endpoint that was chosen for it. */
  FirstEventForecast forecast(Candidate request, Placement.Assigned at, long now) {
    return forecasts && !at.canStartNow()
        ? errors.forecast(
            request.service(), at.endpoint().incarnation(), estimate(request, at), now)
        : FirstEventForecast.uncorrected(at.estimateMillis());
  }

  /** Returns the uncorrected estimate of a request at the endpoint that was chosen for it. */
  ForecastErrors.Estimate estimate(Candidate request, Placement.Assigned at) {
    return new ForecastErrors.Estimate(
        at.estimateMillis(), placer.loadNowMillis(at.endpoint(), request.placement()));
  }

  /** Decides about a request whose load has not begun; empty if it keeps waiting. */
  Optional<HornbeamusherException> whileWaiting(
      Candidate request, EndpointView endpoint, long now) {
    AdapterVersion adapter = request.placement().adapter().orElseThrow();
    boolean lacksSlots = endpoint.lacksAdapterSlots(now);
    if (!forecasts) {
      return lacksSlots && request.targetLeftMillis(now) <= 0
          ? Optional.of(notRun(FailureType.LOAD_TOO_LATE, adapter))
          : Optional.empty();
    }
    // Its place in the queue is not known, so it is in time if its load begins now.
    long serviceMillis = placer.loadNowMillis(endpoint, request.placement());
    FirstEventForecast forecast = FirstEventForecast.uncorrected(serviceMillis);
    LateRequestPolicy.Decision decision = decide(request, forecast, serviceMillis, lacksSlots, now);
    return refusal("wait", request, endpoint, forecast, decision, now);
  }

  /**
   * Returns after what time the load of a request is overdue, so that it moves to an engine that
   * could begin it. Where other adapters wait for slots it need not wait for long: once a report of
   * each engine includes what was placed there since, it is known which of them has a free slot.
   */
  long overdueMillis(EndpointView endpoint, long now) {
    return forecasts && endpoint.lacksAdapterSlots(now)
        ? 2 * LateRequestPolicy.KNOWLEDGE_AGE_MILLIS
        : Placement.Assigned.OVERDUE_LOAD_MILLIS;
  }

  private static LateRequestPolicy.Decision decide(
      Candidate request,
      FirstEventForecast forecast,
      long serviceMillis,
      boolean othersWait,
      long now) {
    return LateRequestPolicy.decide(
        new LateRequestPolicy.Outlook(
            forecast,
            serviceMillis,
            request.targetLeftMillis(now),
            request.startLeftMillis(now),
            othersWait,
            request.notRun()));
  }

  private Optional<HornbeamusherException> refusal(
      String stage,
      Candidate request,
      EndpointView endpoint,
      FirstEventForecast forecast,
      LateRequestPolicy.Decision decision,
      long now) {
    return switch (decision) {
      case PLACED, HELD -> Optional.empty();
      case DEADLINE_MISSED -> {
        recordRefusal(stage, request, endpoint, forecast, decision, now);
        yield Optional.of(notRun(FailureType.DEADLINE_TOO_NEAR));
      }
      case GIVES_WAY -> {
        recordRefusal(stage, request, endpoint, forecast, decision, now);
        yield Optional.of(
            notRun(
                FailureType.LOAD_TOO_LATE,
                request.placement().adapter().map(Object::toString).orElse(request.service())));
      }
    };
  }

  private void recordRefusal(
      String stage,
      Candidate request,
      EndpointView endpoint,
      FirstEventForecast forecast,
      LateRequestPolicy.Decision decision,
      long now) {
    metrics.refusedByForecast(stage);
    request.log().refusedByForecast(stage, endpoint, forecast, request, decision, now);
  }

  /** Whether requests wait for adapter slots where this one would have to wait as well. */
  private static boolean othersWait(Candidate request, EndpointView endpoint, long now) {
    return request.placement().adapter().filter(endpoint::isLoading).isEmpty()
        && endpoint.lacksAdapterSlots(now);
  }

  /** Records that a request has been sent to its endpoint. */
  void sent(Candidate request, boolean afterLoad, long now) {
    Capacity capacity = afterLoad ? Capacity.ADAPTER_SLOT : Capacity.REQUEST_SLOT;
    returns.taken(request.service(), capacity, now);
  }

  /** Records the first event of a request that was placed before its adapter was loaded. */
  void firstEvent(
      Candidate request,
      EndpointView endpoint,
      ForecastErrors.Estimate estimate,
      long actualMillis,
      long now) {
    metrics.forecastError(actualMillis - estimate.totalMillis());
    errors.record(request.service(), endpoint.incarnation(), estimate, actualMillis, now);
  }

  /** Records that a request left an endpoint before its adapter was loaded. */
  void leftUnserved(
      Candidate request,
      EndpointView endpoint,
      ForecastErrors.Estimate estimate,
      long waitedMillis,
      long now) {
    errors.recordUnserved(request.service(), endpoint.incarnation(), estimate, waitedMillis, now);
  }

  /** Adds to a refusal when the caller should return, unless the refusal states it already. */
  HornbeamusherException withRetryAfter(
      Candidate request, HornbeamusherException refusal, long now) {
    if (refusal.retryAfterMillis().isPresent()) {
      return refusal;
    }
    long timeLeft = request.deadlineMillis() - now;
    Optional<Capacity> lacking = lackingCapacity(refusal.type(), request.placement());
    if (!forecasts || lacking.isEmpty()) {
      return refusal.retryAfter(RetryAfterPolicy.millis(refusal.type(), timeLeft));
    }
    ReturnPlanner.FreedCapacity freed = freed(request.service(), lacking.get());
    ReturnPlanner.Refused refused = refused(request, lacking.get(), timeLeft, now);
    ReturnPlanner.Plan plan = returns.plan(refused, freed, random.getAsDouble(), now);
    boolean promised = plan.time() instanceof ReturnTime.Promised;
    metrics.returnPlanned(promised);
    request.log().returnPlanned(refusal.type(), refused, freed, plan);
    return refusal.retryAfter(plan.time().millis());
  }

  private static Optional<Capacity> lackingCapacity(FailureType type, PlacementRequest request) {
    return switch (type) {
      case LOAD_TOO_LATE, DEADLINE_TOO_NEAR ->
          Optional.of(
              request.adapter().isPresent() ? Capacity.ADAPTER_SLOT : Capacity.REQUEST_SLOT);
      case CONNECTIONS_IN_USE, ENDPOINT_REFUSED -> Optional.of(Capacity.REQUEST_SLOT);
      default -> Optional.empty();
    };
  }

  private ReturnPlanner.FreedCapacity freed(String service, Capacity capacity) {
    Collection<EndpointView> views = placer.views().values();
    double perSecond =
        switch (capacity) {
          case ADAPTER_SLOT -> ServiceCapacity.adapterSlotsPerSecond(views, service);
          case REQUEST_SLOT -> ServiceCapacity.requestSlotsPerSecond(views, service);
        };
    return new ReturnPlanner.FreedCapacity(perSecond, entries.getAsInt());
  }

  private ReturnPlanner.Refused refused(
      Candidate request, Capacity capacity, long timeLeft, long now) {
    Collection<EndpointView> views = placer.views().values();
    long queueMillis =
        capacity == Capacity.ADAPTER_SLOT
            ? ServiceCapacity.adapterSlotWaitMillis(views, request.service())
            : 0;
    long serviceMillis =
        views.stream()
            .filter(view -> view.endpoint().service().equals(request.service()) && view.usable())
            .mapToLong(view -> placer.loadNowMillis(view, request.placement()))
            .min()
            .orElse(0);
    return new ReturnPlanner.Refused(
        request.service(),
        capacity,
        queueMillis,
        ServiceCapacity.runMillis(views, request.service()),
        timeLeft,
        serviceMillis);
  }

  /** Returns for how long capacity is promised to returning callers. */
  long promisedMillis(long now) {
    return returns.promisedMillis(now);
  }

  private static HornbeamusherException notRun(FailureType type, Object... arguments) {
    return HornbeamusherException.notRun(type, arguments);
  }

  /** What happens to a request for which an endpoint was chosen. */
  sealed interface PlacementDecision {

    /** It is placed there. */
    record Place(Placement.Assigned at) implements PlacementDecision {}

    /** It waits at the entry, without an endpoint, and is looked at again soon. */
    record Hold() implements PlacementDecision {}

    /** It is refused. */
    record Refuse(HornbeamusherException refusal) implements PlacementDecision {}
  }

  /**
   * A request that waits for an endpoint.
   *
   * @param log its log
   * @param service its service
   * @param placement the inputs of its placement
   * @param targetMillis the time until which its first event is of full value
   * @param startByMillis the time after which its first event is useless
   * @param deadlineMillis the time after which its response is useless
   * @param notRun whether it has certainly not run
   */
  record Candidate(
      RequestLog log,
      String service,
      PlacementRequest placement,
      long targetMillis,
      long startByMillis,
      long deadlineMillis,
      boolean notRun) {

    long targetLeftMillis(long now) {
      return targetMillis - now;
    }

    long startLeftMillis(long now) {
      return startByMillis - now;
    }
  }
}
