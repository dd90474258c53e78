package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.ratelimit.AdvertisedRateLimit;
import org.hornbeamusher.ratelimit.EvenShareLimiter;
import org.hornbeamusher.ratelimit.RatePermitDecision;
import org.hornbeamusher.wire.Message;

/**
 * Keeps this entry's requests within the rate limits that endpoints advertise in their responses.
 * Such a limit applies to all entries together.
 *
 * <p>A request to an endpoint without a limit is sent at once. Otherwise the entry requests a
 * permit from the agent that paces the endpoint ({@link org.hornbeamusher.ratelimit.RatePermits}).
 * If no agent is connected or it does not respond in time, the entry keeps to its even share.
 *
 * <p>A permit that becomes valid later is requested again if its agent is lost or no longer paces
 * the endpoint by then: the successor does not know what was granted, and grants the same time to
 * others. Confined to the event loop.
 */
final class EndpointRateLimiter implements AgentConnections.PermitListener {

  /** Several times the latency between zones; an agent that takes longer is frozen or lost. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 150;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final PacingAgents agents;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;
  private final Map<Long, PendingRatePermit> pending = new HashMap<>();

  /** The permits that agents have granted and that are not valid yet. */
  private final Set<PendingRatePermit> waiting = new HashSet<>();

  private final Map<EndpointView, EvenShareLimiter> shares = new WeakHashMap<>();
  private long lastNumber;

  /**
   * Creates a limiter.
   *
   * @param agents the agents that pace endpoints
   * @param metrics counts decisions
   * @param loop the event loop
   * @param clock monotonic
   */
  EndpointRateLimiter(PacingAgents agents, ForwardMetrics metrics, EventLoop loop, Clock clock) {
    this.agents = agents;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Processes the rate limit in the head of a response.
   *
   * @param endpoint the endpoint that sent it
   * @param advertised the advertised limit
   * @param succeeded whether it is a success
   * @param sentMillis when the request was sent
   */
  void recordResponse(
      EndpointView endpoint, AdvertisedRateLimit advertised, boolean succeeded, long sentMillis) {
    OptionalDouble before = endpoint.limit().requestsPerSecond();
    if (!endpoint.limit().recordResponse(advertised, succeeded, sentMillis, clock.millis())) {
      return;
    }
    OptionalDouble now = endpoint.limit().requestsPerSecond();
    log(endpoint, now, before);
    if (now.isEmpty()) {
      long sentAgo = clock.millis() - sentMillis;
      agents
          .pacer(endpoint.incarnation())
          .ifPresent(
              agent ->
                  agents.send(agent, new Message.RateLimitLifted(endpoint.id().value(), sentAgo)));
    }
  }

  /**
   * Requests a permit for a request. The listener is called in a later iteration of the loop.
   *
   * @param endpoint the destination, which has a rate limit
   * @param requestId id of the request
   * @param maxWaitMillis how long the request can wait
   * @param listener receives the decision
   * @return the pending permit, to be cancelled if the request is not sent there after all
   */
  PendingRatePermit request(
      EndpointView endpoint,
      String requestId,
      long maxWaitMillis,
      PendingRatePermit.Listener listener) {
    PendingRatePermit permit =
        new PendingRatePermit(endpoint, requestId, clock.millis() + maxWaitMillis, listener);
    request(permit);
    return permit;
  }

  private void request(PendingRatePermit permit) {
    OptionalDouble limit = permit.endpoint().limit().requestsPerSecond();
    agents
        .pacer(permit.endpoint().incarnation())
        .filter(agent -> limit.isPresent())
        .ifPresentOrElse(
            agent -> requestFromAgent(permit, agent, limit.getAsDouble()),
            () -> loop.execute(() -> decideLocally(permit)));
  }

  private void requestFromAgent(PendingRatePermit permit, InetSocketAddress agent, double limit) {
    long number = ++lastNumber;
    pending.put(number, permit);
    EventLoop.Timer timeout =
        loop.after(
            RESPONSE_TIMEOUT_MILLIS,
            () -> {
              pending.remove(number);
              decideLocally(permit);
            });
    permit.requestedFrom(agent, timeout);
    agents.send(
        agent,
        new Message.RatePermitRequest(
            number,
            permit.endpoint().id().value(),
            limit,
            clock.millis() - permit.endpoint().limit().advertisedMillis(),
            permit.waitLeftMillis(clock.millis())));
  }

  @Override
  public void received(Message.RatePermitResponse response) {
    PendingRatePermit permit = pending.remove(response.requestNumber());
    if (permit != null) {
      decided(
          permit,
          response.granted()
              ? new RatePermitDecision.Granted(response.waitMillis())
              : new RatePermitDecision.Refused(response.waitMillis()),
          "agent");
    }
  }

  @Override
  public void closed(InetSocketAddress agent) {
    List<PendingRatePermit> unanswered =
        pending.values().stream().filter(permit -> permit.isRequestedFrom(agent)).toList();
    pending.values().removeAll(unanswered);
    unanswered.forEach(this::decideLocally);
    List<PendingRatePermit> granted =
        waiting.stream().filter(permit -> permit.isRequestedFrom(agent)).toList();
    granted.forEach(this::requestAgain);
  }

  private void requestAgain(PendingRatePermit permit) {
    waiting.remove(permit);
    if (!permit.isDone()) {
      permit.withdrawn();
      request(permit);
    }
  }

  private void decideLocally(PendingRatePermit permit) {
    if (permit.isDone()) {
      return;
    }
    permit.withdrawn();
    OptionalDouble limit = permit.endpoint().limit().requestsPerSecond();
    if (limit.isEmpty()) {
      permit.permit();
      return;
    }
    EvenShareLimiter share =
        shares.computeIfAbsent(
            permit.endpoint(),
            unused -> new EvenShareLimiter(ThreadLocalRandom.current().nextDouble()));
    decided(
        permit,
        share.tryAcquire(
            limit.getAsDouble(),
            agents.entries(),
            permit.waitLeftMillis(clock.millis()),
            clock.millis()),
        "even-share");
  }

  private void decided(PendingRatePermit permit, RatePermitDecision decision, String by) {
    if (permit.isDone()) {
      return;
    }
    boolean granted = decision instanceof RatePermitDecision.Granted;
    metrics.permitDecided(granted);
    switch (decision) {
      case RatePermitDecision.Granted grant -> {
        log(permit, granted, grant.waitMillis(), by);
        granted(permit, grant.waitMillis());
      }
      case RatePermitDecision.Refused refusal -> {
        log(permit, granted, refusal.waitMillis(), by);
        permit.endpoint().limit().defer(refusal.waitMillis(), clock.millis());
        permit.refuse();
      }
    }
  }

  private void granted(PendingRatePermit permit, long waitMillis) {
    if (waitMillis <= 0) {
      permitDue(permit);
      return;
    }
    permit.endpoint().limit().defer(waitMillis + interval(permit), clock.millis());
    waiting.removeIf(PendingRatePermit::isDone);
    waiting.add(permit);
    permit.grantedLater(loop.after(waitMillis, () -> permitDue(permit)));
  }

  private static long interval(PendingRatePermit permit) {
    OptionalDouble limit = permit.endpoint().limit().requestsPerSecond();
    return limit.isPresent() && limit.getAsDouble() > 0
        ? Math.round(MILLIS_PER_SECOND / limit.getAsDouble())
        : 0;
  }

  /** The endpoint may have stated in the meantime that it accepts no requests. */
  private void permitDue(PendingRatePermit permit) {
    waiting.remove(permit);
    if (permit.agent().isPresent()
        && !permit.agent().equals(agents.pacer(permit.endpoint().incarnation()))) {
      requestAgain(permit);
    } else if (permit.endpoint().takesRequests(clock.millis())) {
      permit.permit();
    } else {
      permit.refuse();
    }
  }

  private void log(PendingRatePermit permit, boolean granted, long waitMillis, String by) {
    EventLog.log(
        EventType.RATE_PERMIT_DECIDED,
        "id",
        permit.requestId(),
        "endpoint",
        permit.endpoint().id(),
        "granted",
        granted,
        "wait_ms",
        waitMillis,
        "most_wait_ms",
        permit.waitLeftMillis(clock.millis()),
        "limit_per_s",
        text(permit.endpoint().limit().requestsPerSecond()),
        "by",
        by);
  }

  private static void log(EndpointView endpoint, OptionalDouble now, OptionalDouble before) {
    EventLog.log(
        now.isPresent() ? EventType.ENDPOINT_LIMITED : EventType.ENDPOINT_UNLIMITED,
        "endpoint",
        endpoint.id(),
        "start_ms",
        endpoint.incarnation().startMillis(),
        "limit_per_s",
        text(now),
        "before_per_s",
        text(before));
  }

  /** Formats a limit for the log. */
  static String text(OptionalDouble limit) {
    return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "";
  }
}
