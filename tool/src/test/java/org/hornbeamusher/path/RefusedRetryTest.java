package org.hornbeamusher.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.standin.EngineStandin;
import org.junit.jupiter.api.Test;

/**
 * The reported outcome of a request whose response was truncated and that no endpoint can retry.
 */
class RefusedRetryTest {

  /**
   * The engine of the only remaining endpoint closes the connection after some tokens, and the
   * retry is refused because there is no other endpoint. Guards against reporting the refusal's
   * outcome, not-run, although the request has run.
   */
  @Test
  void truncatedResponseIsNotReportedAsNotRunWhenRetryIsRefused() throws Exception {
    try (PathFixture path = new PathFixture()) {
      AdapterRef adapter = PathFixture.adapter(1);
      HttpResponse first = path.complete(0, adapter, "warm", 4).join();
      EndpointId left = new EndpointId(first.headers().get("x-endpoint"));
      path.deployment()
          .agents()
          .forEach(
              (id, agent) -> {
                if (!id.equals(left)) {
                  agent.drain();
                }
              });
      PathFixture.await(() -> path.entry(0).routableEndpointCount() <= 1);
      EngineStandin engine = path.engine(left.value());
      engine.cutNextAfter(3);
      HttpResponse response = path.complete(0, adapter, "roster", 40).join();
      assertEquals("unknown", PathFixture.outcome(response));
      assertEquals(502, response.status());
    }
  }
}
