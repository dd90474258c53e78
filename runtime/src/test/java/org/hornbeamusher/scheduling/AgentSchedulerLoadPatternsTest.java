package org.hornbeamusher.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.hornbeamusher.ids.PartnerId;
import org.junit.jupiter.api.Test;

/** Patterns of load at one endpoint, judged by what the callers receive. */
class AgentSchedulerLoadPatternsTest {

  private static final Map<PartnerId, Integer> EQUAL =
      Map.of(new PartnerId("zarqa"), 1, new PartnerId("tawhiti"), 1);

  private static SchedulerSettings settings(int slots, int batch) {
    return new SchedulerSettings(slots, batch, 200, 1_000, 1_000, 500, false, EQUAL);
  }

  private static Predicate<QueuedRequest> caller(String name) {
    return request -> request.caller().value().equals(name);
  }

  private static Predicate<QueuedRequest> partner(String name) {
    return request -> request.partner().value().equals(name);
  }

  private static double meanWait(List<FakeEndpoint.Result> results) {
    return results.stream()
        .mapToLong(result -> result.answeredMillis() - result.request().arrivedMillis())
        .average()
        .orElse(0);
  }

  /**
   * A hundred salespeople ask for one cold adapter in the same second: one load serves them all.
   */
  @Test
  void burstForOneAdapterSharesOneLoad() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    for (int i = 0; i < 100; i++) {
      endpoint.submitAt(i * 10, Requests.valuer().from("yard" + i % 7));
    }
    endpoint.runUntil(20_000);
    assertEquals(1, endpoint.loads.size());
    assertEquals(100, endpoint.inTime(request -> true));
  }

  /**
   * One caller sends ten times what the endpoint can do. Another sends a tenth of it. Served by
   * arrival the second waits behind the first one's backlog and most of its answers are too late;
   * with shares all of them are in time.
   */
  @Test
  void hotCallerDelaysNobodyElse() {
    assertEquals(100, quietCallerInTime(settings(2, 4)));
    assertTrue(quietCallerInTime(settings(2, 4).without(Mechanism.FAIR_SHARES)) < 50);
  }

  private static long quietCallerInTime(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.every(3, 0, 25_000, Requests.valuer().from("hot").within(2_000));
    endpoint.every(250, 0, 25_000, Requests.valuer().from("quiet").within(1_000));
    endpoint.runUntil(30_000);
    return endpoint.inTime(caller("quiet"));
  }

  /**
   * Zarqa sends twenty times what the endpoint can do, Tawhiti three quarters of its half. Every
   * Tawhiti request is answered in time, and Zarqa gets all that is left.
   */
  @Test
  void partnerFloodingTheOtherTakesNothingFromIt() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.every(1, 0, 20_000, Requests.dispatch().costing(250).within(3_000));
    endpoint.every(83, 0, 20_000, Requests.valuer().costing(250).within(3_000));
    endpoint.runUntil(25_000);
    long tawhiti = endpoint.inTime(partner("tawhiti"));
    long zarqa = endpoint.inTime(partner("zarqa"));
    assertEquals(endpoint.results(partner("tawhiti")).size(), tawhiti);
    assertTrue(zarqa + tawhiti >= 0.95 * 20_000 * 8 / 250, "in time " + zarqa + "+" + tawhiti);
  }

  /**
   * Overnight batches hold every batch place when Tawhiti's yard opens. From the next free place on
   * the yard gets each one until it has its half; going by shares of work alone it takes twice as
   * many.
   */
  @Test
  void lentPlacesAreTakenBackAtOnce() {
    assertEquals(8, placesTakenBack(settings(4, 16)));
    assertEquals(4, placesTakenBack(settings(4, 16).without(Mechanism.GUARANTEED_PLACES)));
  }

  /** Returns how many of the first eight places that become free go to the returning partner. */
  private static int placesTakenBack(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.submit(Requests.valuer());
    endpoint.submit(Requests.dispatch());
    for (int i = 0; i < 100; i++) {
      endpoint.submitAt(2_000 + 60 * i, Requests.dispatch().costing(1_600));
    }
    endpoint.schedule(
        5_000,
        () -> {
          for (int i = 0; i < 40; i++) {
            endpoint.submit(Requests.valuer().costing(1_600));
          }
        });
    endpoint.runUntil(30_000);
    return (int)
        endpoint.results.values().stream()
            .filter(result -> result.answeredMillis() > 5_000)
            .sorted(java.util.Comparator.comparingLong(FakeEndpoint.Result::answeredMillis))
            .limit(8)
            .filter(result -> result.request().partner().value().equals("tawhiti"))
            .count();
  }

  /**
   * Every tenth request is twenty times as long as the others and together they fill the endpoint
   * to nine tenths. By arrival a short one waits for long ones to end; here it waits less than a
   * third of that and the long ones are answered in time all the same.
   */
  @Test
  void longRequestsDoNotBlockShortOnes() {
    SchedulerSettings plain =
        settings(2, 8).without(Mechanism.LONG_LIMIT).without(Mechanism.SHORT_FIRST);
    double ours = shortWait(settings(2, 8));
    double byArrival = shortWait(plain);
    assertTrue(ours < byArrival / 3, "mean wait of short " + ours + ", by arrival " + byArrival);
  }

  private static double shortWait(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    Random random = new Random(11);
    double at = 1_000;
    while (at < 120_000) {
      at += -Math.log(1 - random.nextDouble()) * 40;
      boolean isLong = random.nextInt(10) == 0;
      endpoint.submitAt((long) at, Requests.valuer().costing(isLong ? 2_000 : 100).within(60_000));
    }
    endpoint.submit(Requests.valuer());
    endpoint.runUntil(200_000);
    assertEquals(endpoint.results.size(), endpoint.inTime(request -> true));
    return meanWait(endpoint.results(request -> request.costTokens() == 100));
  }

  /**
   * Twice and ten times as much arrives as can be served, every request worth answering for three
   * seconds. Nine tenths of what the endpoint can do is answered in time, every refusal comes
   * before the deadline with a time to come back, and nothing that was started is too late. Without
   * early refusal most places go to answers that come too late.
   */
  @Test
  void overload() {
    for (int times : List.of(2, 10)) {
      FakeEndpoint endpoint = overloaded(settings(2, 8), times);
      double ideal = 20_000.0 * 8 / 500;
      long inTime = endpoint.inTime(request -> true);
      assertTrue(inTime >= 0.9 * ideal, times + " times: " + inTime + " of " + ideal);
      endpoint.results.values().forEach(AgentSchedulerLoadPatternsTest::assertRefusedOrInTime);
      FakeEndpoint late = overloaded(settings(2, 8).without(Mechanism.EARLY_REFUSAL), times);
      assertTrue(late.inTime(request -> true) < 0.6 * ideal);
    }
  }

  private static FakeEndpoint overloaded(SchedulerSettings settings, int times) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    Random random = new Random(5);
    double at = 0;
    while (at < 20_000) {
      at += -Math.log(1 - random.nextDouble()) * 500 / 8 / times;
      endpoint.submitAt(
          (long) at, Requests.valuer().from("yard" + random.nextInt(5)).costing(500).within(3_000));
    }
    endpoint.runUntil(30_000);
    return endpoint;
  }

  private static void assertRefusedOrInTime(FakeEndpoint.Result result) {
    if (result.answer() instanceof AgentAction.Refuse refuse) {
      assertTrue(result.answeredMillis() < result.request().deadlineMillis());
      assertTrue(refuse.retryAfterMillis() > 0);
    } else {
      assertTrue(result.inTime());
    }
  }

  /**
   * One hot adapter among a tail of rare ones on three slots. Going by last use the hot one is
   * evicted whenever three rare ones came in its pauses; going by frequency it stays.
   */
  @Test
  void hotAdapterOutlivesTheTail() {
    long ours = hotLoads(settings(3, 8));
    long byLastUse = hotLoads(settings(3, 8).without(Mechanism.FREQUENCY_EVICTION));
    assertEquals(1, ours);
    assertTrue(byLastUse >= 5, "loads of the hot adapter " + byLastUse);
  }

  private static long hotLoads(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    for (int i = 0; i < 60; i++) {
      // The hot adapter is called in bursts with pauses of several seconds.
      for (int call = 0; call < 6; call++) {
        endpoint.submitAt(i * 6_000 + call * 100, Requests.valuer().on("valuer/hot@1"));
      }
      for (int rare = 0; rare < 4; rare++) {
        endpoint.submitAt(
            i * 6_000 + 1_200 + rare * 1_100, Requests.valuer().on("valuer/r" + i + rare + "@1"));
      }
    }
    endpoint.runUntil(400_000);
    return endpoint.loads.stream().filter(ref -> ref.adapter().value().equals("hot")).count();
  }

  /**
   * The adapters that were hot fall silent and as many cold ones become hot. The new ones need a
   * load each, one after the other; once these are done nobody waits for a load any more.
   */
  @Test
  void popularityFlip() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    for (int adapter = 0; adapter < 4; adapter++) {
      endpoint.every(200, adapter, 60_000, Requests.valuer().on("valuer/old" + adapter + "@1"));
      endpoint.every(
          200, 60_000 + adapter, 90_000, Requests.valuer().on("valuer/new" + adapter + "@1"));
    }
    endpoint.runUntil(100_000);
    assertEquals(8, endpoint.loads.size());
    long lastStalled =
        endpoint.results(request -> true).stream()
            .filter(result -> result.stall() > 0)
            .mapToLong(result -> result.request().arrivedMillis())
            .max()
            .orElseThrow();
    assertTrue(lastStalled < 60_000 + 4 * 500 + 1, "last stalled arrival at " + lastStalled);
  }

  /**
   * The engine restarts in full work and holds nothing. The most wanted adapter is loaded first,
   * one load at a time, and what waited is answered; nobody is told of the restart but those whose
   * request was running.
   */
  @Test
  void restartRewarmsByDemand() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    long[] running = new long[1];
    int[] gaps = {400, 50, 200, 100};
    for (int adapter = 0; adapter < 4; adapter++) {
      endpoint.every(gaps[adapter], 0, 20_000, Requests.valuer().on("valuer/a" + adapter + "@1"));
    }
    endpoint.schedule(
        10_030,
        () -> {
          endpoint.loads.clear();
          running[0] = endpoint.runningCount();
          endpoint.restart();
        });
    endpoint.runUntil(30_000);
    assertEquals(
        List.of("a1", "a3", "a2", "a0"),
        endpoint.loads.stream().map(ref -> ref.adapter().value()).toList());
    long lost =
        endpoint.results(request -> true).stream().filter(result -> !result.inTime()).count();
    assertEquals(running[0], lost);
  }

  /**
   * An adapter's weights are broken. Its callers are told after two tries and not at their
   * deadline, with the time after which a load is tried again; those who ask before that are told
   * at once. The callers of other adapters notice nothing.
   */
  @Test
  void failingLoads() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.failing = ref -> ref.adapter().value().equals("broken");
    endpoint.every(300, 0, 30_000, Requests.valuer().on("valuer/broken@1").within(20_000));
    endpoint.every(300, 1_000, 30_000, Requests.valuer().on("valuer/good@1").within(2_000));
    endpoint.runUntil(60_000);
    List<FakeEndpoint.Result> broken =
        endpoint.results(request -> request.adapter().orElseThrow().toString().contains("broken"));
    assertEquals(100, broken.size());
    for (FakeEndpoint.Result result : broken) {
      AgentAction.Refuse refuse = (AgentAction.Refuse) result.answer();
      assertEquals(org.hornbeamusher.failure.FailureType.LOAD_FAILED, refuse.type());
      assertTrue(result.answeredMillis() - result.request().arrivedMillis() <= 1_500);
    }
    long tries = endpoint.loads.stream().filter(ref -> ref.toString().contains("broken")).count();
    // At 0, 1, 2.7, 5.4, 9.9 and 18.6 s: the first request after each back-off.
    assertEquals(6, tries);
    assertEquals(
        97, endpoint.inTime(request -> request.adapter().get().toString().contains("good")));
  }

  /**
   * Every slot holds an adapter that is in constant use. The request for another one would never
   * find a slot; its bound follows its service's weights, so Tawhiti's valuation waits less than
   * Zarqa's roster for the same load.
   */
  @Test
  void overtakingHasBoundThatFollowsTheWeights() {
    long valuation = stallOfNewcomer(settings(1, 4), Requests.STALLS);
    long roster = stallOfNewcomer(settings(1, 4), Requests.BATCHES);
    assertTrue(valuation < 2_500, "valuation " + valuation);
    assertTrue(roster > 3_000 && roster < 4_500, "roster " + roster);
    long starved = stallOfNewcomer(settings(1, 4).without(Mechanism.DRAINING), Requests.STALLS);
    assertEquals(-1, starved);
  }

  /** Returns how long the newcomer waited for its load, or -1 when it was refused. */
  private static long stallOfNewcomer(
      SchedulerSettings settings, org.hornbeamusher.documents.ServiceDocument.Weights weights) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.every(100, 0, 30_000, Requests.valuer().costing(300));
    long[] ticket = new long[1];
    endpoint.schedule(
        10_000,
        () ->
            ticket[0] =
                endpoint.submit(
                    Requests.valuer().on("valuer/b@1").weighing(weights).within(15_000)));
    endpoint.runUntil(40_000);
    FakeEndpoint.Result result = endpoint.results.get(ticket[0]);
    return result.refused() ? -1 : result.stall();
  }

  /**
   * A valuation and a roster arrive in the same moment for adapters of their own. The store can
   * serve one first: the one whose service minds stalls more.
   */
  @Test
  void weightsDecideWhichLoadIsFirst() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.submit(Requests.dispatch().on("dispatch/first@1"));
    endpoint.submit(Requests.dispatch());
    endpoint.submit(Requests.valuer());
    endpoint.runUntil(3_000);
    assertEquals(
        List.of("dispatch/first@1", "valuer/a@1", "dispatch/a@1"),
        endpoint.loads.stream().map(Object::toString).toList());
  }

  /**
   * New hot adapters keep coming, each with three callers, faster than the store can load. The one
   * request for a rare adapter would wait for ever by demand alone; its demand ages.
   */
  @Test
  void rareAdapterIsNotStarved() {
    assertTrue(rareStall(settings(4, 8)) > 0);
    assertEquals(-1, rareStall(settings(4, 8).without(Mechanism.LOAD_AGEING)));
  }

  private static long rareStall(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    for (int i = 0; i < 100; i++) {
      for (int each = 0; each < 3; each++) {
        endpoint.submitAt(
            i * 400, Requests.valuer().on("valuer/h" + i + "@1").from("c" + i + each));
      }
    }
    long[] ticket = new long[1];
    endpoint.schedule(
        1_000,
        () -> ticket[0] = endpoint.submit(Requests.valuer().on("valuer/rare@1").within(15_000)));
    endpoint.runUntil(60_000);
    FakeEndpoint.Result result = endpoint.results.get(ticket[0]);
    return result.refused() ? -1 : result.stall();
  }

  /**
   * A caller fills its service's queue. When another caller's request comes, the newest of the many
   * is refused in its place, with a time to come back.
   */
  @Test
  void fullQueueDropsFromWhoHoldsMost() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(2, 1));
    Requests request = Requests.valuer().queueing(10);
    for (int i = 0; i < 10; i++) {
      endpoint.submit(request.from("many"));
    }
    long other = endpoint.submit(request.from("other"));
    assertTrue(endpoint.results.get(10L).refused());
    assertEquals(null, endpoint.results.get(other));
    long eleventh = endpoint.submit(request.from("many"));
    assertTrue(endpoint.results.get(eleventh).refused());
    endpoint.runUntil(20_000);
    assertTrue(endpoint.results.get(other).inTime());
  }

  /** Nobody is left who could use the load: ordering it would cost others half a second. */
  @Test
  void noLoadForRequestsThatAreLost() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(2, 4));
    endpoint.submit(Requests.valuer().on("valuer/a@1"));
    endpoint.submit(Requests.valuer().on("valuer/b@1").within(1_050).costing(100));
    endpoint.runUntil(5_000);
    assertEquals(1, endpoint.loads.size());
    assertTrue(endpoint.results.get(2L).refused());
  }
}
