package org.hornbeamusher.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.junit.jupiter.api.Test;

/** Queued requests at an endpoint that starts to leave. */
class AgentSchedulerDrainTest {

  private static final long DRAIN_START_MILLIS = 500;

  /** No work may reach the engine later than this after the endpoint starts to leave. */
  private static final long DRAINED_MILLIS = 2_000;

  private final FakeEndpoint endpoint =
      new FakeEndpoint(new SchedulerSettings(1, 1, 200, 1_000, 1_000, 500, false, Map.of()));

  /**
   * Guards against a request that is started late on a leaving endpoint. It was queued behind a
   * long response that ended three seconds after the drain began; two seconds after the drain the
   * operator may already remove the endpoint.
   */
  @Test
  void requestQueuedBehindLongRunIsRefusedInTime() {
    final long running = endpoint.submit(RequestBuilder.valuer().withCost(3_500));
    long waiting = endpoint.submit(RequestBuilder.valuer().withAdapter("valuer/b@1"));
    endpoint.schedule(DRAIN_START_MILLIS, endpoint::leave);

    endpoint.runUntil(10_000);

    FakeEndpoint.Result refused = endpoint.results.get(waiting);
    AgentAction.Refuse refusal = assertInstanceOf(AgentAction.Refuse.class, refused.action());
    assertEquals(FailureType.ENDPOINT_LEAVING, refusal.type());
    assertTrue(refused.answeredMillis() <= DRAIN_START_MILLIS + DRAINED_MILLIS / 2 + 100);
    assertTrue(endpoint.results.get(running).inTime(), "the running request finishes in time");
  }

  /** A leaving endpoint still starts an accepted request whose batch slot becomes free soon. */
  @Test
  void requestThatStartsSoonRunsToCompletion() {
    endpoint.submit(RequestBuilder.valuer().withCost(200));
    long next = endpoint.submit(RequestBuilder.valuer().withCost(3_000));
    endpoint.schedule(DRAIN_START_MILLIS, endpoint::leave);

    endpoint.runUntil(10_000);

    assertTrue(endpoint.results.get(next).inTime());
  }

  /** An attempt that the engine refused is queued again after the drain; it is refused as well. */
  @Test
  void requestQueuedAfterDrainIsRefusedAtOnce() {
    endpoint.schedule(DRAIN_START_MILLIS, endpoint::leave);
    endpoint.submitAt(DRAIN_START_MILLIS + DRAINED_MILLIS, RequestBuilder.valuer());

    endpoint.runUntil(10_000);

    assertTrue(endpoint.results(request -> true).stream().allMatch(FakeEndpoint.Result::refused));
  }

  /** Guards against a clock set back, which let a leaving endpoint start work for as long again. */
  @Test
  void clockSetBackDoesNotExtendDrainWindow() {
    AgentScheduler scheduler =
        new AgentScheduler(new SchedulerSettings(1, 1, 200, 1_000, 1_000, 500, false, Map.of()));
    scheduler.beginDrain(10_000);
    assertTrue(scheduler.mayStart(10_900));
    assertFalse(scheduler.mayStart(9_000));
    assertFalse(scheduler.mayStart(10_900));
  }
}
