package org.hornbeamusher.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.junit.jupiter.api.Test;

/** What becomes of the requests that wait at an endpoint when it is told to leave. */
class AgentSchedulerLeavingTest {

  private static final long LEAVING = 500;

  /** No work may reach the engine later than this after the word that it leaves. */
  private static final long DRAINED_MILLIS = 2_000;

  private final FakeEndpoint endpoint =
      new FakeEndpoint(new SchedulerSettings(1, 1, 200, 1_000, 1_000, 500, false, Map.of()));

  /**
   * An endpoint is drained while a long answer runs there and another request waits behind it. Two
   * seconds later an operator believes that it has no new work and takes it away. The answer ended
   * three seconds after the word and the other request was started then, on an endpoint that was
   * about to be gone.
   */
  @Test
  void whatWaitsBehindLongRunIsGivenBackInTimeToRunElsewhere() {
    final long running = endpoint.submit(Requests.valuer().costing(3_500));
    long waiting = endpoint.submit(Requests.valuer().on("valuer/b@1"));
    endpoint.schedule(LEAVING, endpoint::leave);

    endpoint.runUntil(10_000);

    FakeEndpoint.Result givenBack = endpoint.results.get(waiting);
    AgentAction.Refuse refusal = assertInstanceOf(AgentAction.Refuse.class, givenBack.answer());
    assertEquals(FailureType.ENDPOINT_LEAVING, refusal.type());
    assertTrue(givenBack.answeredMillis() <= LEAVING + DRAINED_MILLIS / 2 + 100);
    assertTrue(endpoint.results.get(running).inTime(), "what ran is finished");
  }

  /** What can start at once is started also at an endpoint that leaves: it was taken in before. */
  @Test
  void whatStartsSoonRunsToItsEnd() {
    endpoint.submit(Requests.valuer().costing(200));
    long next = endpoint.submit(Requests.valuer().costing(3_000));
    endpoint.schedule(LEAVING, endpoint::leave);

    endpoint.runUntil(10_000);

    assertTrue(endpoint.results.get(next).inTime());
  }

  /**
   * An attempt that the engine refused is queued again after the word; it is given back as well.
   */
  @Test
  void whatIsQueuedAgainLateIsGivenBackAtOnce() {
    endpoint.schedule(LEAVING, endpoint::leave);
    endpoint.submitAt(LEAVING + DRAINED_MILLIS, Requests.valuer());

    endpoint.runUntil(10_000);

    assertTrue(endpoint.results(request -> true).stream().allMatch(FakeEndpoint.Result::refused));
  }

  /** A clock that was set back let a leaving endpoint start work for as long again. */
  @Test
  void clockThatIsSetBackGivesLeavingEndpointNoMoreTime() {
    AgentScheduler scheduler =
        new AgentScheduler(new SchedulerSettings(1, 1, 200, 1_000, 1_000, 500, false, Map.of()));
    scheduler.leave(10_000);
    assertTrue(scheduler.mayStart(10_900));
    assertFalse(scheduler.mayStart(9_000));
    assertFalse(scheduler.mayStart(10_900));
  }
}
