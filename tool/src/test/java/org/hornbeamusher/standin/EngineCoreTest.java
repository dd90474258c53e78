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
  void loadedAdapterAnswersWhatIsExpected() {
    load(A);
    Sink sink = new Sink();
    assertEquals(EngineReply.DONE, start("r1", A, "price", 3, 0, sink));
    runSteps(4);
    assertEquals(new ExpectedAnswer(A, "price", 3).text() + "length/2/3", sink.heard.toString());
  }

  @Test
  void answersOfTwoAdaptersDifferInEveryToken() {
    ExpectedAnswer a = new ExpectedAnswer(A, "price", 20);
    ExpectedAnswer b = new ExpectedAnswer(B, "price", 20);
    for (int i = 0; i < 20; i++) {
      assertFalse(a.token(i).equals(b.token(i)));
    }
  }

  @Test
  void stopMarkEndsTheAnswerEarly() {
    ExpectedAnswer answer = new ExpectedAnswer(A, "price [stop 5]", 20);
    assertEquals(5, answer.tokens());
    assertEquals("stop", answer.finishReason());
  }

  @Test
  void anAdapterThatIsNotResidentIsRefused() {
    assertEquals(EngineReply.NOT_RESIDENT, start("r1", A, "price", 3, 0, new Sink()));
    assertEquals(1, core.counts().notResident());
  }

  @Test
  void fullBatchIsRefused() {
    load(A);
    assertEquals(EngineReply.DONE, start("r1", A, "price", 3, 0, new Sink()));
    assertEquals(EngineReply.DONE, start("r2", A, "price", 3, 0, new Sink()));
    assertEquals(EngineReply.BATCH_FULL, start("r3", A, "price", 3, 0, new Sink()));
  }

  @Test
  void slotsBoundResidentAndLoadingAdaptersTogether() {
    load(A);
    assertNull(core.beginLoad(B, new CompletableFuture<>()));
    assertEquals(EngineReply.NO_FREE_SLOT, core.beginLoad(C, new CompletableFuture<>()));
    core.unload(A);
    assertNull(core.beginLoad(C, new CompletableFuture<>()));
  }

  /** An agent was paused past its lease and orders with its old number when it wakes. */
  @Test
  void anOldFencingNumberIsRefusedUntilRestart() {
    assertFalse(core.stale(7));
    assertTrue(core.stale(6));
    assertFalse(core.stale(7));
    core.restart();
    assertFalse(core.stale(6));
    assertEquals(1, core.counts().staleOrders());
  }

  /** Some deployments' engines do not look at the number; a late order takes effect there. */
  @Test
  void anEngineWithoutFencingTakesAnyNumber() {
    EngineCore open = new EngineCore(settings.withFencing(false), new PrefixCache(100, events));
    assertFalse(open.stale(7));
    assertFalse(open.stale(6));
  }

  /** A load that fails leaves its slot free; the request that waited for it sees a refusal. */
  @Test
  void failedLoadFreesItsSlot() {
    core.failNextLoads(1);
    CompletableFuture<EngineReply> reply = new CompletableFuture<>();
    core.beginLoad(A, reply);
    core.loadEnded(A, reply, true);
    assertEquals(EngineReply.LOAD_FAILED, reply.join());
    load(A);
    load(B);
  }

  /** An agent that evicts an adapter in use cuts off the request; the count betrays it. */
  @Test
  void unloadingAnAdapterInUseIsCountedAndEndsItsRequests() {
    load(A);
    Sink sink = new Sink();
    start("r1", A, "price", 9, 0, sink);
    core.step();
    core.unload(A);
    assertEquals(1, core.counts().unloadsInUse());
    assertTrue(sink.heard.toString().endsWith("failed adapter-evicted"));
  }

  /** A marked request takes down the engine, and with it every answer that was under way. */
  @Test
  void crashMarkCrashesTheEngine() {
    load(A);
    Sink bystander = new Sink();
    start("r1", A, "price", 9, 0, bystander);
    assertFalse(core.step());
    start("r2", A, "price [crash]", 9, 0, new Sink());
    assertTrue(core.step());
    core.restart();
    assertTrue(bystander.heard.toString().endsWith("cut"));
    assertEquals(List.of(), core.state("i").resident());
  }

  /** A load order that was under way when the engine restarted must not fill a slot of the new. */
  @Test
  void loadFromBeforeRestartHasNoEffect() {
    CompletableFuture<EngineReply> reply = new CompletableFuture<>();
    core.beginLoad(A, reply);
    core.restart();
    core.loadEnded(A, reply, true);
    assertEquals(EngineReply.RESTARTED, reply.join());
    assertEquals(List.of(), core.state("i").resident());
  }

  /** A connection breaks in the middle of an answer; the rest can be had without a second run. */
  @Test
  void cutAnswerIsResumedFromAnyTokenWithoutSecondRun() {
    load(A);
    core.cutNextAfter(3);
    Sink first = new Sink();
    start("r1", A, "price", 6, 0, first);
    runSteps(3);
    assertTrue(first.heard.toString().endsWith("cut"));
    Sink second = new Sink();
    assertEquals(EngineReply.DONE, core.resume("r1", 2, second));
    runSteps(4);
    ExpectedAnswer answer = new ExpectedAnswer(A, "price", 6);
    String rest = answer.token(2) + answer.token(3) + answer.token(4) + answer.token(5);
    assertEquals(rest + "length/2/6", second.heard.toString());
    assertEquals(1, core.counts().runs().get(A.toString()));
  }

  @Test
  void cancelledRequestIsNotKept() {
    load(A);
    start("r1", A, "price", 6, 0, new Sink());
    core.cancel("r1");
    assertTrue(core.idle());
    assertEquals(EngineReply.NOT_KEPT, core.resume("r1", 0, new Sink()));
  }

  /** A marked request that is sent twice is the doubled booking that the callers fear. */
  @Test
  void secondRunOfOneIdempotencyKeyIsCounted() {
    load(A);
    RunningRequest first = new RunningRequest("r1", A, "p", 1, 0, new Sink());
    RunningRequest second = new RunningRequest("r2", A, "p", 1, 0, new Sink());
    core.start(first, "p", "key", 0);
    assertEquals(0, core.counts().repeatedRuns());
    core.start(second, "p", "key", 0);
    assertEquals(1, core.counts().repeatedRuns());
  }

  @Test
  void theHigherPriorityIsReadFirst() {
    load(A);
    Sink low = new Sink();
    Sink high = new Sink();
    String longPrompt = "x".repeat(4 * settings.prefillTokensPerStep());
    start("low", A, longPrompt, 1, 0, low);
    start("high", A, "y" + longPrompt.substring(1), 1, 5, high);
    core.step();
    assertEquals("", low.heard.toString());
    assertFalse(high.heard.isEmpty());
  }

  @Test
  void sharedPromptBeginningIsReadOnce() {
    String prompt = "x".repeat(PrefixCache.BLOCK_CHARS * 3);
    PrefixCache cache = new PrefixCache(100, events);
    assertEquals(0, cache.read(A, prompt, 0));
    assertEquals(48, cache.read(A, prompt + "and more", 0));
    assertEquals(0, cache.read(B, prompt, 0));
  }

  @Test
  void cacheEventsComeLateAndWithGaps() {
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
    CompletableFuture<EngineReply> reply = new CompletableFuture<>();
    assertNull(core.beginLoad(adapter, reply));
    core.loadEnded(adapter, reply, true);
    assertEquals(EngineReply.DONE, reply.join());
  }

  private EngineReply start(
      String id, AdapterRef adapter, String prompt, int tokens, int priority, Sink sink) {
    return core.start(
        new RunningRequest(id, adapter, prompt, tokens, priority, sink), prompt, "", 0);
  }

  private void runSteps(int count) {
    for (int i = 0; i < count; i++) {
      core.step();
    }
  }

  private static final class Sink implements AnswerSink {
    final StringBuilder heard = new StringBuilder();
    final List<Integer> indices = new ArrayList<>();

    @Override
    public void token(int index, String text) {
      indices.add(index);
      heard.append(text);
    }

    @Override
    public void finished(String reason, int promptTokens, int completionTokens) {
      heard.append(reason).append('/').append(promptTokens).append('/').append(completionTokens);
    }

    @Override
    public void failed(int status, String type) {
      heard.append("failed ").append(type);
    }

    @Override
    public void cut() {
      heard.append("cut");
    }
  }
}
