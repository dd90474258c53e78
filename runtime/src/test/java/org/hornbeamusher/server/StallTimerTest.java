package org.hornbeamusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.http.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

class StallTimerTest {

  private static final long TIMEOUT_MILLIS = 200;
  private static final long LATER_MILLIS = 4 * TIMEOUT_MILLIS;
  private static final long WAIT_SECONDS = 20;

  private final HttpClient client = new HttpClient(1);
  private final AtomicInteger runs = new AtomicInteger();
  private XnioIoThread thread;

  @BeforeEach
  void start() {
    client.start();
    thread = client.worker().getIoThread(0);
  }

  @AfterEach
  void stop() {
    client.stop();
  }

  /** Guards against a transfer that stalls and holds its memory for ever. */
  @Test
  void taskRunsOnceWithoutProgress() throws Exception {
    onThread(() -> timer().start());
    awaitLater();
    assertEquals(1, runs.get());
  }

  @Test
  void stoppedTimerDoesNotRun() throws Exception {
    onThread(
        () -> {
          StallTimer timer = timer();
          timer.start();
          timer.stop();
        });
    awaitLater();
    assertEquals(0, runs.get());
  }

  /** Guards against cutting off a transfer that is slow but moves on. */
  @Test
  void progressDelaysTheTask() throws Exception {
    CompletableFuture<Integer> runsBefore = new CompletableFuture<>();
    onThread(
        () -> {
          StallTimer timer = timer();
          timer.start();
          keepMoving(timer, 2 * (int) TIMEOUT_MILLIS, runsBefore);
        });
    assertEquals(0, runsBefore.get(WAIT_SECONDS, TimeUnit.SECONDS));
    awaitLater();
    assertEquals(1, runs.get());
  }

  /**
   * Records progress each millisecond for longer than the timeout, then tells how often the task
   * has run.
   */
  private void keepMoving(StallTimer timer, int times, CompletableFuture<Integer> runsBefore) {
    timer.progressed();
    if (times == 0) {
      runsBefore.complete(runs.get());
      return;
    }
    thread.executeAfter(() -> keepMoving(timer, times - 1, runsBefore), 1, TimeUnit.MILLISECONDS);
  }

  private StallTimer timer() {
    return new StallTimer(thread, TIMEOUT_MILLIS, runs::incrementAndGet);
  }

  private void onThread(Runnable task) throws Exception {
    CompletableFuture.runAsync(task, thread).get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private void awaitLater() throws Exception {
    CompletableFuture<Void> later = new CompletableFuture<>();
    thread.executeAfter(() -> later.complete(null), LATER_MILLIS, TimeUnit.MILLISECONDS);
    later.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
