package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;

/** Requests to an endpoint that has stated a Retry-After period. */
class AgentBackoffTest {

  private static final long BACKOFF_MILLIS = 3_000;

  private static void refuse(HttpServerExchange exchange) {
    exchange.setStatusCode(503);
    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "3");
  }

  /** Guards against sending a request to an endpoint before its Retry-After period ends. */
  @Test
  void requestIsReturnedDuringRetryAfterPeriod() throws InterruptedException {
    try (EndpointExecutorFixture agent = new EndpointExecutorFixture(AgentBackoffTest::refuse)) {
      agent.dispatch(1, "/first");
      awaitEnd(agent, 1);
      agent.dispatch(2, "/early");
      awaitEnd(agent, 2);
      assertEquals(List.of("/first"), agent.paths());
      Message.Failed returned = agent.failures().get(0);
      assertEquals(FailureType.ENDPOINT_BACKOFF.number(), returned.failureNumber());
      assertEquals("not-run", returned.outcome());
      assertEquals(BACKOFF_MILLIS, returned.retryAfterMillis());
      agent.clock.advance(BACKOFF_MILLIS);
      agent.dispatch(3, "/later");
      awaitEnd(agent, 3);
      assertEquals(List.of("/first", "/later"), agent.paths());
    }
  }

  /** Guards against executing a start that was decided before the endpoint stated Retry-After. */
  @Test
  void delayedStartIsReturned() throws InterruptedException {
    try (EndpointExecutorFixture agent = new EndpointExecutorFixture(AgentBackoffTest::refuse)) {
      agent.onNextStart(
          () -> agent.executor.retryAfterStated(new RetryAfter.Millis(BACKOFF_MILLIS)));
      agent.dispatch(1, "/held-up");
      awaitEnd(agent, 1);
      assertEquals(List.of(), agent.paths());
      assertEquals(FailureType.ENDPOINT_BACKOFF.number(), agent.failures().get(0).failureNumber());
    }
  }

  private static void awaitEnd(EndpointExecutorFixture agent, int requests)
      throws InterruptedException {
    while (agent.ended() < requests) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
