package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.loop.EventLoop;
import org.junit.jupiter.api.Test;

class XnioEventLoopTest {

  /** Guards against a cancelled task that runs because it became due together with another one. */
  @Test
  void cancelledTaskThatIsDueDoesNotRun() throws Exception {
    HttpClient client = new HttpClient(1);
    client.start();
    try {
      EventLoop loop = client.loop();
      List<String> ran = new CopyOnWriteArrayList<>();
      CompletableFuture<Void> done = new CompletableFuture<>();
      loop.execute(
          () -> {
            EventLoop.Timer[] second = new EventLoop.Timer[1];
            loop.after(
                10,
                () -> {
                  ran.add("first");
                  second[0].cancel();
                });
            second[0] = loop.after(11, () -> ran.add("second"));
            loop.after(12, () -> done.complete(null));
            occupy(50);
          });
      done.get(5, TimeUnit.SECONDS);
      assertEquals(List.of("first"), ran);
    } finally {
      client.stop();
    }
  }

  private static void occupy(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
