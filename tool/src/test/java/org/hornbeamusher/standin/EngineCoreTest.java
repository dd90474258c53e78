package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.AdapterRef;
import org.junit.jupiter.api.Test;

class EngineCoreTest {

  private static final AdapterRef A = AdapterRef.parse("valuer-llm/utes@1");
  private static final AdapterRef B = AdapterRef.parse("valuer-llm/vans@1");
  private static final AdapterRef C = AdapterRef.parse("valuer-llm/vans@2");

  private final EngineSettings settings = EngineSettings.of(0, 2, 2);
  private final CacheEvents events = new CacheEvents(0, 0);
  private final EngineCore core = new EngineCore(settings, new PrefixCache(100, events));

  @Test
  void residentAdapterGeneratesExpectedResponse() {
    load(A);
    RecordingSink sink = new RecordingSink();
    assertEquals(EngineResult.DONE, start("r1", A, "price", 3, 0, sink));
    runSteps(4);
    assertEquals(
        new ExpectedResponse(A, "price", 3).text() + "length/2/3", sink.received.toString());
  }

  @Test
  void responsesOfTwoAdaptersDifferInEveryToken() {
    ExpectedResponse a = new ExpectedResponse(A, "price", 20);
    ExpectedResponse b = new ExpectedResponse(B, "price", 20);
    for (int i = 0; i < 20; i++) {
      assertFalse(a.token(i).equals(b.token(i)));
    }
  }

  @Test
  void stopMarkEndsTheResponseEarly() {
    ExpectedResponse expected = new ExpectedResponse(A, "price [stop 5]", 20);
    assertEquals(5, expected.tokenCount());
    assertEquals("stop", expected.finishReason());
  }

  @Test
  void anAdapterThatIsNotResidentIsRefused() {
    assertEquals(EngineResult.NOT_RESIDENT, start("r1", A, "price", 3, 0, new RecordingSink()));
    assertEquals(1, core.counts().notResident());
  }

  @Test
  void fullBatchIsRefused() {
    load(A);
    assertEquals(EngineResult.DONE, start("r1", A, "price", 3, 0, new RecordingSink()));
    assertEquals(EngineResult.DONE, start("r2", A, "price", 3, 0, new RecordingSink()));
    assertEquals(EngineResult.BATCH_FULL, start("r3", A, "price", 3, 0, new RecordingSink()));
  }

  @Test
  void slotsLimitResidentAndLoadingAdaptersTogether() {
    load(A);
    assertNull(core.beginLoad(B, new CompletableFuture<>()));
    assertEquals(EngineResult.NO_FREE_SLOT, core.beginLoad(C, new CompletableFuture<>()));
    core.unload(A);
    assertNull(core.beginLoad(C, new CompletableFuture<>()));
  }

  /** A paused agent was superseded and sends orders with its old fencing number when it resumes. */
  @Test
  void anOldFencingNumberIsRefusedUntilRestart() {
    assertFalse(core.checkStale(7));
    assertTrue(core.checkStale(6));
    assertFalse(core.checkStale(7));
    core.restart();
    assertFalse(core.checkStale(6));
    assertEquals(1, core.counts().staleOrders());
  }

  /** Engines of some deployments ignore fencing numbers; a stale order takes effect there. */
  @Test
  void anEngineWithoutFencingTakesAnyNumber() {
    EngineCore open = new EngineCore(settings.withFencing(false), new PrefixCache(100, events));
    assertFalse(open.checkStale(7));
    assertFalse(open.checkStale(6));
  }

  /** A load that fails frees its slot and is reported as failed. */
  @Test
  void failedLoadFreesItsSlot() {
    core.failNextLoads(1);
    CompletableFuture<EngineResult> result = new CompletableFuture<>();
    core.beginLoad(A, result);
    core.loadEnded(A, result, true);
    assertEquals(EngineResult.LOAD_FAILED, result.join());
    load(A);
    load(B);
  }

  /**
   * Unloading an adapter in use ends its requests; the counter must reveal such a fault of an
   * agent.
   */
  @Test
  void unloadingAnAdapterInUseIsCountedAndEndsItsRequests() {
    load(A);
    RecordingSink sink = new RecordingSink();
    start("r1", A, "price", 9, 0, sink);
    core.step();
    core.unload(A);
    assertEquals(1, core.counts().unloadsInUse());
    assertTrue(sink.received.toString().endsWith("failed adapter-evicted"));
  }

  /** A request with the crash mark crashes the engine and aborts every other running request. */
  @Test
  void crashMarkCrashesTheEngine() {
    load(A);
    RecordingSink bystander = new RecordingSink();
    start("r1", A, "price", 9, 0, bystander);
    assertFalse(core.step());
    start("r2", A, "price [crash]", 9, 0, new RecordingSink());
    assertTrue(core.step());
    core.restart();
    assertTrue(bystander.received.toString().endsWith("cut"));
    assertEquals(List.of(), core.state("i").resident());
  }

  /**
   * A load in progress during a restart must not make its adapter resident in the restarted engine.
   */
  @Test
  void loadFromBeforeRestartHasNoEffect() {
    CompletableFuture<EngineResult> result = new CompletableFuture<>();
    core.beginLoad(A, result);
    core.restart();
    core.loadEnded(A, result, true);
    assertEquals(EngineResult.RESTARTED, result.join());
    assertEquals(List.of(), core.state("i").resident());
  }

  /**
   * A connection is closed in mid-response; the rest can be fetched without running the request
   * again.
   */
  @Test
  void abortedResponseIsResumedFromAnyTokenWithoutSecondRun() {
    load(A);
    core.cutNextAfter(3);
    RecordingSink first = new RecordingSink();
    start("r1", A, "price", 6, 0, first);
    runSteps(3);
    assertTrue(first.received.toString().endsWith("cut"));
    RecordingSink second = new RecordingSink();
    assertEquals(EngineResult.DONE, core.resume("r1", 2, second));
    runSteps(4);
    ExpectedResponse expected = new ExpectedResponse(A, "price", 6);
    String rest = expected.token(2) + expected.token(3) + expected.token(4) + expected.token(5);
    assertEquals(rest + "length/2/6", second.received.toString());
    assertEquals(1, core.counts().runs().get(A.toString()));
  }

  @Test
  void cancelledRequestCannotBeResumed() {
    load(A);
    start("r1", A, "price", 6, 0, new RecordingSink());
    core.cancel("r1");
    assertTrue(core.isIdle());
    assertEquals(EngineResult.NOT_RESUMABLE, core.resume("r1", 0, new RecordingSink()));
  }

  /**
   * A request that runs twice under one idempotency key, such as a double booking, must be counted.
   */
  @Test
  void secondRunOfOneIdempotencyKeyIsCounted() {
    load(A);
    RunningRequest first = new RunningRequest("r1", A, "p", 1, 0, new RecordingSink());
    RunningRequest second = new RunningRequest("r2", A, "p", 1, 0, new RecordingSink());
    core.start(first, "p", "key", 0);
    assertEquals(0, core.counts().repeatedRuns());
    core.start(second, "p", "key", 0);
    assertEquals(1, core.counts().repeatedRuns());
  }

  @Test
  void promptOfHigherPriorityIsProcessedFirst() {
    load(A);
    RecordingSink low = new RecordingSink();
    RecordingSink high = new RecordingSink();
    String longPrompt = "x".repeat(4 * settings.prefillTokensPerStep());
    start("low", A, longPrompt, 1, 0, low);
    start("high", A, "y" + longPrompt.substring(1), 1, 5, high);
    core.step();
    assertEquals("", low.received.toString());
    assertFalse(high.received.isEmpty());
  }

  @Test
  void sharedPromptPrefixIsCached() {
    String prompt = "x".repeat(PrefixCache.BLOCK_CHARS * 3);
    PrefixCache cache = new PrefixCache(100, events);
    assertEquals(0, cache.lookUpAndStore(A, prompt, 0));
    assertEquals(48, cache.lookUpAndStore(A, prompt + "and more", 0));
    assertEquals(0, cache.lookUpAndStore(B, prompt, 0));
  }

  @Test
  void cacheEventsAreDelayedAndPartlyDropped() {
    CacheEvents gappy = new CacheEvents(300, 2);
    gappy.record("stored", A, 1, 1_000);
    gappy.record("stored", A, 2, 1_000);
    gappy.record("stored", A, 3, 1_000);
    assertEquals(List.of(), gappy.after(0, 1_299));
    List<Long> sequences =
        gappy.after(0, 1_300).stream().map(CacheEvents.CacheEvent::sequence).toList();
    assertEquals(List.of(1L, 3L), sequences);
  }

  private void load(AdapterRef adapter) {
    CompletableFuture<EngineResult> result = new CompletableFuture<>();
    assertNull(core.beginLoad(adapter, result));
    core.loadEnded(adapter, result, true);
    assertEquals(EngineResult.DONE, result.join());
  }

  private EngineResult start(
      String id, AdapterRef adapter, String prompt, int tokens, int priority, RecordingSink sink) {
    return core.start(
        new RunningRequest(id, adapter, prompt, tokens, priority, sink), prompt, "", 0);
  }

  private void runSteps(int count) {
    for (int i = 0; i < count; i++) {
      core.step();
    }
  }

  private static final class RecordingSink implements ResponseSink {
    final StringBuilder received = new StringBuilder();
    final List<Integer> indices = new ArrayList<>();

    @Override
    public void token(int index, String text) {
      indices.add(index);
      received.append(text);
    }

    @Override
    public void finished(String reason, int promptTokens, int completionTokens) {
      received.append(reason).append('/').append(promptTokens).append('/').append(completionTokens);
    }

    @Override
    public void failed(int status, String type) {
      received.append("failed ").append(type);
    }

    @Override
    public void abort() {
      received.append("cut");
    }
  }
}
