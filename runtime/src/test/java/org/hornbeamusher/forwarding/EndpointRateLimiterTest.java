package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.ratelimit.AdvertisedRateLimit;
import org.hornbeamusher.ratelimit.RatePermitDecision;
import org.hornbeamusher.ratelimit.RatePermits;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;

/** Entries that request permits for one endpoint from agents that are lost and replaced. */
class EndpointRateLimiterTest {

  private static final EndpointIncarnation ENDPOINT =
      new EndpointIncarnation(new EndpointId("e"), EndpointIncarnation.UNKNOWN_START);
  private static final int ENTRIES = 4;
  private static final double REQUESTS_PER_SECOND = 20;
  private static final long WINDOW_MILLIS = 4_000;

  /** One and a half times what the limit allows in a window, and five. */
  private static final long MAX_IN_WINDOW = 125;

  private static final long REQUEST_INTERVAL_MILLIS = 20;
  private static final long MAX_WAIT_MILLIS = 3_000;
  private static final long DELAY_MILLIS = 2;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> sentMillis = new ArrayList<>();
  private InetSocketAddress agent = new InetSocketAddress("127.0.0.1", 1);
  private RatePermits permits = new RatePermits();

  /** Guards against permits of a lost agent that are used beside those of its successor. */
  @Test
  void permitsOfLostAgentsDoNotAddUp() {
    play(true);
    assertTrue(maxInWindow() <= MAX_IN_WINDOW, maxInWindow() + " of " + MAX_IN_WINDOW);
  }

  /** Guards against permits of an agent that is connected and has been succeeded by another. */
  @Test
  void permitsOfSucceededAgentsDoNotAddUp() {
    play(false);
    assertTrue(maxInWindow() <= MAX_IN_WINDOW, maxInWindow() + " of " + MAX_IN_WINDOW);
  }

  /** Guards against requests that are not sent at all while agents are replaced. */
  @Test
  void requestsAreSentWhileAgentsAreReplaced() {
    play(true);
    assertTrue(
        sentMillis.size() >= 0.5 * REQUESTS_PER_SECOND * loop.clock().millis() / 1_000,
        sentMillis.size() + " sent");
  }

  private void play(boolean lost) {
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry());
    }
    for (int replaced = 0; replaced < 6; replaced++) {
      loop.runUntil(loop.clock().millis() + 1_500);
      InetSocketAddress before = agent;
      agent = new InetSocketAddress("127.0.0.1", before.getPort() + 1);
      permits = new RatePermits();
      if (lost) {
        entries.forEach(entry -> entry.limiter.closed(before));
      }
    }
    loop.runUntil(loop.clock().millis() + MAX_WAIT_MILLIS);
  }

  private long maxInWindow() {
    return sentMillis.stream()
        .mapToLong(
            from ->
                sentMillis.stream().filter(at -> at >= from && at < from + WINDOW_MILLIS).count())
        .max()
        .orElse(0);
  }

  private final class Entry implements PacingAgents, PendingRatePermit.Listener {

    private final EndpointView endpoint =
        new EndpointView(
            new Endpoint(
                ENDPOINT, "plain", URI.create("http://10.0.0.1:1"), "z", 8, false, 0, Set.of()),
            0,
            0,
            new EndpointAvailability());
    private final EndpointRateLimiter limiter =
        new EndpointRateLimiter(this, new ForwardMetrics(new MetricRegistry()), loop, loop.clock());

    Entry() {
      limiter.recordResponse(
          endpoint, new AdvertisedRateLimit.PerSecond(REQUESTS_PER_SECOND), true, 0);
      request();
    }

    private void request() {
      limiter.request(endpoint, "id", MAX_WAIT_MILLIS, this);
      loop.after(REQUEST_INTERVAL_MILLIS, this::request);
    }

    @Override
    public Optional<InetSocketAddress> pacer(EndpointIncarnation any) {
      return Optional.of(agent);
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
      RatePermits at = permits;
      if (message instanceof Message.RatePermitRequest request) {
        loop.after(DELAY_MILLIS, () -> decide(to, at, request));
      }
    }

    private void decide(InetSocketAddress by, RatePermits at, Message.RatePermitRequest request) {
      RatePermitDecision decision =
          at.tryAcquire(
              ENDPOINT.id(),
              request.perSecond(),
              loop.clock().millis() - request.advertisedAgoMillis(),
              request.maxWaitMillis(),
              loop.clock().millis());
      if (by.equals(agent)) {
        limiter.received(
            switch (decision) {
              case RatePermitDecision.Granted granted ->
                  new Message.RatePermitResponse(
                      request.requestNumber(), true, granted.waitMillis());
              case RatePermitDecision.Refused refused ->
                  new Message.RatePermitResponse(
                      request.requestNumber(), false, refused.waitMillis());
            });
      }
    }

    @Override
    public int entries() {
      return ENTRIES;
    }

    @Override
    public void permitGranted() {
      sentMillis.add(loop.clock().millis());
    }

    @Override
    public void permitRefused() {}
  }
}
