package org.hornbeamusher.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.WeightStoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends the workload directly to an engine stand-in, which has the same completions interface as an
 * entry.
 */
class LoadRunnerTest {

  private static final AdapterRef HOT = AdapterRef.parse("valuer-llm/utes@1");
  private static final AdapterRef COLD = AdapterRef.parse("valuer-llm/vans@1");

  private final WeightStoreStandin store = new WeightStoreStandin(SystemClock.INSTANCE, 1);
  private final EngineStandin engine =
      new EngineStandin(
          EngineSettings.of(0, 1, 64).withTokenMicros(100), store, SystemClock.INSTANCE);
  private final HttpClient client = new HttpClient(1);

  @BeforeEach
  void start() {
    store.start();
    engine.start();
    client.start();
    String order = "{\"adapter\":\"" + HOT + "\",\"fencing\":1}";
    HttpRequest call =
        HttpRequest.postJson(
            engine.uri().resolve("/orders/load"), order.getBytes(StandardCharsets.UTF_8));
    assertEquals(200, client.send(call, 20_000).join().status());
  }

  @AfterEach
  void stop() {
    client.stop();
    engine.stop();
    store.stop();
  }

  @Test
  void everyResponseIsCheckedAndCounted() throws InterruptedException {
    Traffic.CompletionTraffic traffic =
        new Traffic.CompletionTraffic(List.of(HOT), 1, 0, 0.5, 40, 8);
    LoadReport report = run(LoadSettings.of(List.of(engine.uri()), "", 100, 0, traffic));
    assertEquals(100, report.answered());
    assertEquals(800, report.tokens());
    assertEquals(100, report.total().getTotalCount());
    assertTrue(report.guaranteesMet());
    assertEquals(Map.of(HOT.toString(), 100L), engine.counts().runs());
  }

  /** The stand-in's errors state no outcome, so they must not count as refusals. */
  @Test
  void errorsWithoutAnOutcomeAreFailures() throws InterruptedException {
    Traffic.CompletionTraffic traffic =
        new Traffic.CompletionTraffic(List.of(COLD), 1, 0, 0, 40, 8);
    LoadReport report = run(LoadSettings.of(List.of(engine.uri()), "", 10, 1_000, traffic));
    assertEquals(Map.of("adapter-not-resident", 10), report.failed());
    assertEquals(10, report.requests());
  }

  /** Connections are refused: every request is lost, and the run still ends. */
  @Test
  void requestsWithoutResponseAreLost() throws InterruptedException {
    Traffic.CompletionTraffic traffic = new Traffic.CompletionTraffic(List.of(HOT), 1, 0, 0, 40, 8);
    URI nobody = URI.create("http://127.0.0.1:1");
    LoadReport report = run(LoadSettings.of(List.of(nobody), "", 10, 0, traffic));
    assertEquals(10, report.lost());
    assertFalse(report.guaranteesMet());
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    report.print(new PrintStream(text, true, StandardCharsets.UTF_8));
    assertTrue(text.toString(StandardCharsets.UTF_8).contains("10 lost, 0 repeated"));
  }

  /**
   * The engine alone does not prevent that a request sent twice under one key runs twice (two
   * prices for one car); every such run must be counted.
   */
  @Test
  void resentRequestThatRunsAgainIsRepeated() throws InterruptedException {
    Traffic.CompletionTraffic traffic =
        new Traffic.CompletionTraffic(List.of(HOT), 1, 0, 0.5, 40, 8);
    LoadSettings settings =
        LoadSettings.of(List.of(engine.uri()), "", 5, 0, traffic).withNonRepeatable(1, 1);
    LoadReport report = run(settings);
    assertEquals(5, report.answered());
    assertEquals(5, report.repeated());
    assertFalse(report.guaranteesMet());
    assertEquals(5, engine.counts().repeatedRuns());
  }

  @Test
  void popularityFollowsZipfsLaw() {
    ZipfSampler sampler = new ZipfSampler(1_000, 1);
    SplittableRandom random = new SplittableRandom(7);
    int[] drawn = new int[1_000];
    for (int i = 0; i < 100_000; i++) {
      drawn[sampler.next(random)]++;
    }
    assertEquals(2.0, (double) drawn[0] / drawn[1], 0.1);
    assertEquals(10.0, (double) drawn[0] / drawn[9], 1.0);
    assertTrue(drawn[999] < 60);
  }

  private LoadReport run(LoadSettings settings) throws InterruptedException {
    return new LoadRunner(settings, client).run();
  }
}
