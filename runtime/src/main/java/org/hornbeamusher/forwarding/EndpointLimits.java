package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.WeakHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.ratelimit.EvenShare;
import org.hornbeamusher.ratelimit.PermitDecision;
import org.hornbeamusher.ratelimit.StatedLimit;
import org.hornbeamusher.wire.Message;

/**
 * Keeps this entry's requests within the rates that endpoints state in their answers, which hold
 * for all entries together.
 *
 * <p>A request to an endpoint that states no limit goes at once. For any other, the entry asks the
 * agent that paces the endpoint ({@link org.hornbeamusher.ratelimit.RatePermits}). Where no agent
 * is connected, or it does not answer in time, the entry keeps to its even share. Confined to the
 * loop.
 */
final class EndpointLimits implements EngineAgents.PermitListener {

  /** Several ways between availability zones; an agent that takes longer is frozen or lost. */
  private static final long REPLY_MILLIS = 150;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineAgents agents;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;
  private final Map<Long, RatePermit> asked = new HashMap<>();
  private final Map<EndpointView, EvenShare> shares = new WeakHashMap<>();
  private long numbers;

  /**
   * Creates limits of no endpoint.
   *
   * @param agents who pace endpoints
   * @param metrics counts decisions
   * @param loop the loop
   * @param clock monotonic
   */
  EndpointLimits(EngineAgents agents, ForwardMetrics metrics, EventLoop loop, Clock clock) {
    this.agents = agents;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Takes the head of an endpoint's answer.
   *
   * @param endpoint who answered
   * @param stated the limit that the answer states
   * @param succeeded whether it is a success
   * @param sentMillis when its request was sent
   */
  void answered(EndpointView endpoint, StatedLimit stated, boolean succeeded, long sentMillis) {
    OptionalDouble before = endpoint.limit().requestsPerSecond();
    if (!endpoint.limit().answered(stated, succeeded, sentMillis, clock.millis())) {
      return;
    }
    OptionalDouble now = endpoint.limit().requestsPerSecond();
    log(endpoint, now, before);
    if (now.isEmpty()) {
      long sentAgo = clock.millis() - sentMillis;
      agents
          .pacer(endpoint.life())
          .ifPresent(
              agent ->
                  agents.send(agent, new Message.RateLimitLifted(endpoint.id().value(), sentAgo)));
    }
  }

  /**
   * Asks whether a request may be sent. The listener is called in a later turn of the loop.
   *
   * @param endpoint where it is to be sent; it limits its rate
   * @param requestId the caller's
   * @param mostWaitMillis how long it can wait
   * @param listener receives the decision
   * @return what has to be cancelled when the request is not to be sent there any more
   */
  RatePermit request(
      EndpointView endpoint, String requestId, long mostWaitMillis, RatePermit.Listener listener) {
    double limit = endpoint.limit().requestsPerSecond().orElseThrow();
    RatePermit permit = new RatePermit(endpoint, requestId, mostWaitMillis, listener);
    agents
        .pacer(endpoint.life())
        .ifPresentOrElse(
            agent -> ask(permit, agent, limit), () -> loop.execute(() -> decideHere(permit)));
    return permit;
  }

  private void ask(RatePermit permit, InetSocketAddress agent, double limit) {
    long number = ++numbers;
    asked.put(number, permit);
    EventLoop.Timer timeout =
        loop.after(
            REPLY_MILLIS,
            () -> {
              asked.remove(number);
              decideHere(permit);
            });
    permit.asked(agent, timeout);
    agents.send(
        agent,
        new Message.RatePermitRequest(
            number,
            permit.endpoint().id().value(),
            limit,
            clock.millis() - permit.endpoint().limit().statedMillis(),
            permit.mostWaitMillis()));
  }

  @Override
  public void received(Message.RatePermitReply reply) {
    RatePermit permit = asked.remove(reply.number());
    if (permit != null) {
      decided(
          permit,
          reply.granted()
              ? new PermitDecision.Granted(reply.waitMillis())
              : new PermitDecision.Refused(reply.waitMillis()),
          "agent");
    }
  }

  @Override
  public void closed(InetSocketAddress agent) {
    List<RatePermit> unanswered =
        asked.values().stream().filter(permit -> permit.askedOf(agent)).toList();
    asked.values().removeAll(unanswered);
    unanswered.forEach(this::decideHere);
  }

  private void decideHere(RatePermit permit) {
    if (permit.over()) {
      return;
    }
    OptionalDouble limit = permit.endpoint().limit().requestsPerSecond();
    if (limit.isEmpty()) {
      permit.permit();
      return;
    }
    EvenShare share =
        shares.computeIfAbsent(
            permit.endpoint(), unused -> new EvenShare(ThreadLocalRandom.current().nextDouble()));
    decided(
        permit,
        share.permit(
            limit.getAsDouble(), agents.entries(), permit.mostWaitMillis(), clock.millis()),
        "even-share");
  }

  private void decided(RatePermit permit, PermitDecision decision, String by) {
    if (permit.over()) {
      return;
    }
    boolean granted = decision instanceof PermitDecision.Granted;
    metrics.permitDecided(granted);
    switch (decision) {
      case PermitDecision.Granted grant -> {
        log(permit, granted, grant.waitMillis(), by);
        granted(permit, grant.waitMillis());
      }
      case PermitDecision.Refused refusal -> {
        log(permit, granted, refusal.waitMillis(), by);
        permit.endpoint().limit().defer(refusal.waitMillis(), clock.millis());
        permit.refuse();
      }
    }
  }

  private void granted(RatePermit permit, long waitMillis) {
    if (waitMillis <= 0) {
      due(permit);
      return;
    }
    permit.endpoint().limit().defer(waitMillis + interval(permit), clock.millis());
    permit.granted(loop.after(waitMillis, () -> due(permit)));
  }

  private static long interval(RatePermit permit) {
    OptionalDouble limit = permit.endpoint().limit().requestsPerSecond();
    return limit.isPresent() && limit.getAsDouble() > 0
        ? Math.round(MILLIS_PER_SECOND / limit.getAsDouble())
        : 0;
  }

  /** The endpoint may have stated meanwhile that it takes nothing new. */
  private void due(RatePermit permit) {
    if (permit.endpoint().takesRequests(clock.millis())) {
      permit.permit();
    } else {
      permit.refuse();
    }
  }

  private static void log(RatePermit permit, boolean granted, long waitMillis, String by) {
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
        permit.mostWaitMillis(),
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
        endpoint.life().startMillis(),
        "limit_per_s",
        text(now),
        "before_per_s",
        text(before));
  }

  /** Returns a limit as the log states it. */
  static String text(OptionalDouble limit) {
    return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "";
  }
}
