package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.FailureType;
import org.junit.jupiter.api.Test;

/** Requests to an endpoint whose agent is draining. */
class AgentDrainTest {

  private static final long DRAINED_MILLIS = 2_000;

  /** Guards against a start that was decided in time and executed after the drain had ended. */
  @Test
  void delayedStartIsReturned() throws InterruptedException {
    try (EndpointExecutorFixture agent = new EndpointExecutorFixture(exchange -> {})) {
      agent.onNextStart(
          () -> {
            agent.dispatch(2, "/held-up");
            agent.executor.drain();
            agent.clock.advance(DRAINED_MILLIS);
          });
      agent.dispatch(1, "/first");
      while (agent.paths().size() + agent.failures().size() < 2) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertEquals(List.of("/held-up"), agent.paths());
      assertEquals(1, agent.failures().size());
      assertEquals(FailureType.ENDPOINT_LEAVING.number(), agent.failures().get(0).failureNumber());
      assertEquals("not-run", agent.failures().get(0).outcome());
      assertTrue(agent.executor.outstanding() <= 1);
    }
  }
}
