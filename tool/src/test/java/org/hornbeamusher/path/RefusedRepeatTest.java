package org.hornbeamusher.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.standin.EngineStandin;
import org.junit.jupiter.api.Test;

/** What a caller is told when its request broke off and nothing can take the repeat. */
class RefusedRepeatTest {

  /**
   * One endpoint is left and its engine breaks off an answer after some tokens. The repeat finds no
   * other endpoint and is refused. The caller was told that its request did not run; it did.
   */
  @Test
  void answerThatBrokeOffIsNotSaidToBeNotRunWhenTheRepeatIsRefused() throws Exception {
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
      EngineStandin engine = path.engineOf(left.value());
      engine.cutNextAfter(3);
      HttpResponse reply = path.complete(0, adapter, "roster", 40).join();
      assertEquals("unknown", PathFixture.outcome(reply));
      assertEquals(502, reply.status());
    }
  }
}
