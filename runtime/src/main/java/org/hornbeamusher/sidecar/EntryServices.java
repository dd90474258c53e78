package org.hornbeamusher.sidecar;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.ratelimit.RatePermitDecision;
import org.hornbeamusher.ratelimit.RatePermits;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Services of an agent for all entries that do not concern its own engine: it relays quota usage
 * and crash records, remembers where streams began, and grants permits for requests to rate-limited
 * endpoints. Confined to the event loop.
 */
final class EntryServices {

  private final UsageRelayService usage;
  private final CrashRelay crashes;
  private final StreamOriginRegistry streams;
  private final RatePermits permits = new RatePermits();
  private final Clock clock;
  private final Counter granted;
  private final Counter refused;

  EntryServices(EventLoop loop, Clock clock, MetricRegistry registry) {
    this.usage = new UsageRelayService(QuotaSettings.DEFAULT, loop, clock);
    this.crashes = new CrashRelay(clock);
    this.streams = new StreamOriginRegistry(clock);
    this.clock = clock;
    this.granted = registry.counter("agent.rate_permits.granted");
    this.refused = registry.counter("agent.rate_permits.refused");
  }

  void entryConnected(WireConnection entry) {
    usage.entryConnected(entry);
    crashes.entryConnected(entry);
  }

  void entryDisconnected(WireConnection entry) {
    usage.entryDisconnected(entry);
    crashes.entryDisconnected(entry);
  }

  /** Returns the number of entries, including those that are currently unreachable. */
  int entryCount() {
    return usage.entryCount();
  }

  /** Handles a message of an entry; returns false when it is for another component. */
  boolean received(WireConnection entry, Message message) {
    switch (message) {
      case Message.UsageReport report -> usage.received(entry, report);
      case Message.StreamBegun begun -> streams.begun(begun);
      case Message.StreamOriginRequest request -> entry.send(streams.origin(request));
      case Message.CrashReport report -> crashes.received(entry, report);
      case Message.ConnectionLoss loss -> crashes.received(entry, loss);
      case Message.Leaving leaving -> usage.entryLeaving(entry);
      case Message.RatePermitRequest request -> decidePermit(entry, request);
      case Message.RateLimitLifted lifted -> {
        long now = clock.millis();
        permits.limitLifted(new EndpointId(lifted.endpoint()), now - lifted.sentAgoMillis(), now);
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private void decidePermit(WireConnection entry, Message.RatePermitRequest request) {
    long now = clock.millis();
    RatePermitDecision decision =
        permits.tryAcquire(
            new EndpointId(request.endpoint()),
            request.perSecond(),
            now - request.advertisedAgoMillis(),
            request.maxWaitMillis(),
            now);
    switch (decision) {
      case RatePermitDecision.Granted permit -> {
        granted.inc();
        entry.send(
            new Message.RatePermitResponse(request.requestNumber(), true, permit.waitMillis()));
      }
      case RatePermitDecision.Refused refusal -> {
        refused.inc();
        entry.send(
            new Message.RatePermitResponse(request.requestNumber(), false, refusal.waitMillis()));
      }
    }
  }
}
