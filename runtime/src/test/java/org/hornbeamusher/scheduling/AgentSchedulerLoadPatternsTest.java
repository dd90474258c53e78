package org.hornbeamusher.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.hornbeamusher.ids.PartnerId;
import org.junit.jupiter.api.Test;

/** Load patterns at one endpoint, judged by the outcomes of the callers' requests. */
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

  /** A hundred requests for one cold adapter arrive within a second: one load serves them all. */
  @Test
  void burstForOneAdapterSharesOneLoad() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    for (int i = 0; i < 100; i++) {
      endpoint.submitAt(i * 10, RequestBuilder.valuer().withCaller("yard" + i % 7));
    }
    endpoint.runUntil(20_000);
    assertEquals(1, endpoint.loads.size());
    assertEquals(100, endpoint.inTime(request -> true));
  }

  /**
   * One caller sends ten times the endpoint's capacity, another a tenth of it. Served in order of
   * arrival, the second waits behind the backlog of the first and most of its responses are late;
   * with fair shares all of them are in time.
   */
  @Test
  void hotCallerDoesNotDelayOthers() {
    assertEquals(100, quietCallerInTime(settings(2, 4)));
    assertTrue(quietCallerInTime(settings(2, 4).without(SchedulerFeature.FAIR_SHARES)) < 50);
  }

  private static long quietCallerInTime(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.every(3, 0, 25_000, RequestBuilder.valuer().withCaller("hot").withDeadline(2_000));
    endpoint.every(250, 0, 25_000, RequestBuilder.valuer().withCaller("quiet").withDeadline(1_000));
    endpoint.runUntil(30_000);
    return endpoint.inTime(caller("quiet"));
  }

  /**
   * Zarqa sends twenty times the endpoint's capacity, Tawhiti three quarters of its half share.
   * Every Tawhiti request is answered in time, and Zarqa gets the remaining capacity.
   */
  @Test
  void floodingPartnerDoesNotReduceOtherPartnersShare() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.every(1, 0, 20_000, RequestBuilder.dispatch().withCost(250).withDeadline(3_000));
    endpoint.every(83, 0, 20_000, RequestBuilder.valuer().withCost(250).withDeadline(3_000));
    endpoint.runUntil(25_000);
    long tawhiti = endpoint.inTime(partner("tawhiti"));
    long zarqa = endpoint.inTime(partner("zarqa"));
    assertEquals(endpoint.results(partner("tawhiti")).size(), tawhiti);
    assertTrue(zarqa + tawhiti >= 0.95 * 20_000 * 8 / 250, "in time " + zarqa + "+" + tawhiti);
  }

  /**
   * Overnight requests of Zarqa occupy every batch slot when Tawhiti's requests arrive. Tawhiti
   * gets each slot that becomes free until it has its half; by shares of work alone it would get
   * only every other one.
   */
  @Test
  void returningPartnerGetsItsGuaranteedSlotsFirst() {
    assertEquals(8, slotsOfReturningPartner(settings(4, 16)));
    assertEquals(
        4, slotsOfReturningPartner(settings(4, 16).without(SchedulerFeature.GUARANTEED_PLACES)));
  }

  /** Returns how many of the first eight slots that become free go to the returning partner. */
  private static int slotsOfReturningPartner(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.submit(RequestBuilder.valuer());
    endpoint.submit(RequestBuilder.dispatch());
    for (int i = 0; i < 100; i++) {
      endpoint.submitAt(2_000 + 60 * i, RequestBuilder.dispatch().withCost(1_600));
    }
    endpoint.schedule(
        5_000,
        () -> {
          for (int i = 0; i < 40; i++) {
            endpoint.submit(RequestBuilder.valuer().withCost(1_600));
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
   * Every tenth request is twenty times as long as the others, and the total load is nine tenths of
   * the capacity. In order of arrival short requests wait for long ones to end; with the scheduler
   * they wait less than a third of that, and the long ones are still answered in time.
   */
  @Test
  void longRequestsDoNotBlockShortOnes() {
    SchedulerSettings plain =
        settings(2, 8).without(SchedulerFeature.LONG_LIMIT).without(SchedulerFeature.SHORT_FIRST);
    double scheduled = shortWait(settings(2, 8));
    double byArrival = shortWait(plain);
    assertTrue(
        scheduled < byArrival / 3,
        "mean wait of short requests " + scheduled + ", in order of arrival " + byArrival);
  }

  private static double shortWait(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    Random random = new Random(11);
    double at = 1_000;
    while (at < 120_000) {
      at += -Math.log(1 - random.nextDouble()) * 40;
      boolean isLong = random.nextInt(10) == 0;
      endpoint.submitAt(
          (long) at, RequestBuilder.valuer().withCost(isLong ? 2_000 : 100).withDeadline(60_000));
    }
    endpoint.submit(RequestBuilder.valuer());
    endpoint.runUntil(200_000);
    assertEquals(endpoint.results.size(), endpoint.inTime(request -> true));
    return meanWait(endpoint.results(request -> request.costTokens() == 100));
  }

  /**
   * Overload of two and ten times the capacity, with deadlines of three seconds. Requests worth at
   * least nine tenths of the capacity are answered in time, every refusal comes before the deadline
   * with a retry time, and no started request is late. Without early refusal most batch slots go to
   * responses that are late.
   */
  @Test
  void overloadIsServedNearCapacityInTime() {
    for (int times : List.of(2, 10)) {
      FakeEndpoint endpoint = overloaded(settings(2, 8), times);
      double ideal = 20_000.0 * 8 / 500;
      long inTime = endpoint.inTime(request -> true);
      assertTrue(
          inTime >= 0.9 * ideal, times + " times the capacity: " + inTime + " in time of " + ideal);
      endpoint.results.values().forEach(AgentSchedulerLoadPatternsTest::assertRefusedOrInTime);
      FakeEndpoint late = overloaded(settings(2, 8).without(SchedulerFeature.EARLY_REFUSAL), times);
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
          (long) at,
          RequestBuilder.valuer()
              .withCaller("yard" + random.nextInt(5))
              .withCost(500)
              .withDeadline(3_000));
    }
    endpoint.runUntil(30_000);
    return endpoint;
  }

  private static void assertRefusedOrInTime(FakeEndpoint.Result result) {
    if (result.action() instanceof AgentAction.Refuse refuse) {
      assertTrue(result.answeredMillis() < result.request().deadlineMillis());
      assertTrue(refuse.retryAfterMillis() > 0);
    } else {
      assertTrue(result.inTime());
    }
  }

  /**
   * One hot adapter and a tail of rarely used ones share three slots. With least recently used
   * eviction the hot one is evicted whenever three others were requested during its pauses; with
   * eviction by frequency it stays.
   */
  @Test
  void hotAdapterStaysResidentAmongRareOnes() {
    long byFrequency = hotLoads(settings(3, 8));
    long byLastUse = hotLoads(settings(3, 8).without(SchedulerFeature.FREQUENCY_EVICTION));
    assertEquals(1, byFrequency);
    assertTrue(byLastUse >= 5, "loads of the hot adapter " + byLastUse);
  }

  private static long hotLoads(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    for (int i = 0; i < 60; i++) {
      // The hot adapter is requested in bursts with pauses of several seconds.
      for (int call = 0; call < 6; call++) {
        endpoint.submitAt(
            i * 6_000 + call * 100, RequestBuilder.valuer().withAdapter("valuer/hot@1"));
      }
      for (int rare = 0; rare < 4; rare++) {
        endpoint.submitAt(
            i * 6_000 + 1_200 + rare * 1_100,
            RequestBuilder.valuer().withAdapter("valuer/r" + i + rare + "@1"));
      }
    }
    endpoint.runUntil(400_000);
    return endpoint.loads.stream().filter(ref -> ref.adapter().value().equals("hot")).count();
  }

  /**
   * The hot adapters are no longer requested and as many cold ones become hot. The new ones need
   * one load each, one after the other; after that no request waits for a load.
   */
  @Test
  void popularityShiftNeedsOneLoadPerNewAdapter() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    for (int adapter = 0; adapter < 4; adapter++) {
      endpoint.every(
          200, adapter, 60_000, RequestBuilder.valuer().withAdapter("valuer/old" + adapter + "@1"));
      endpoint.every(
          200,
          60_000 + adapter,
          90_000,
          RequestBuilder.valuer().withAdapter("valuer/new" + adapter + "@1"));
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
   * The engine restarts under full load and loses all adapters. They are loaded again one at a
   * time, highest demand first, and the queued requests are answered; only the requests that were
   * running are lost.
   */
  @Test
  void restartRewarmsByDemand() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    long[] running = new long[1];
    int[] gaps = {400, 50, 200, 100};
    for (int adapter = 0; adapter < 4; adapter++) {
      endpoint.every(
          gaps[adapter],
          0,
          20_000,
          RequestBuilder.valuer().withAdapter("valuer/a" + adapter + "@1"));
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
   * An adapter's weights are broken. Its requests are refused after two failed loads rather than at
   * their deadline, with the time until the next attempt; requests that arrive before that are
   * refused at once. Requests for other adapters are not affected.
   */
  @Test
  void requestsForBrokenAdapterAreRefusedEarly() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.failing = ref -> ref.adapter().value().equals("broken");
    endpoint.every(
        300,
        0,
        30_000,
        RequestBuilder.valuer().withAdapter("valuer/broken@1").withDeadline(20_000));
    endpoint.every(
        300,
        1_000,
        30_000,
        RequestBuilder.valuer().withAdapter("valuer/good@1").withDeadline(2_000));
    endpoint.runUntil(60_000);
    List<FakeEndpoint.Result> broken =
        endpoint.results(request -> request.adapter().orElseThrow().toString().contains("broken"));
    assertEquals(100, broken.size());
    for (FakeEndpoint.Result result : broken) {
      AgentAction.Refuse refuse = (AgentAction.Refuse) result.action();
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
   * Every slot holds an adapter in constant use. Without draining, a request for another adapter
   * would never get a slot. Its maximum wait depends on its service's weights, so Tawhiti's
   * valuation waits less than Zarqa's roster for the same load.
   */
  @Test
  void overtakingIsLimitedByServiceWeights() {
    long valuation = stallOfNewAdapter(settings(1, 4), RequestBuilder.STALLS);
    long roster = stallOfNewAdapter(settings(1, 4), RequestBuilder.BATCHES);
    assertTrue(valuation < 2_500, "valuation " + valuation);
    assertTrue(roster > 3_000 && roster < 4_500, "roster " + roster);
    long starved =
        stallOfNewAdapter(settings(1, 4).without(SchedulerFeature.DRAINING), RequestBuilder.STALLS);
    assertEquals(-1, starved);
  }

  /** Returns how long the new request waited for its load, or -1 if it was refused. */
  private static long stallOfNewAdapter(
      SchedulerSettings settings, org.hornbeamusher.documents.ServiceDocument.CostWeights weights) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    endpoint.every(100, 0, 30_000, RequestBuilder.valuer().withCost(300));
    long[] ticket = new long[1];
    endpoint.schedule(
        10_000,
        () ->
            ticket[0] =
                endpoint.submit(
                    RequestBuilder.valuer()
                        .withAdapter("valuer/b@1")
                        .withWeights(weights)
                        .withDeadline(15_000)));
    endpoint.runUntil(40_000);
    FakeEndpoint.Result result = endpoint.results.get(ticket[0]);
    return result.refused() ? -1 : result.stall();
  }

  /**
   * A valuation and a roster request different adapters at the same time. The adapter of the
   * service that gives load stalls more weight is loaded first.
   */
  @Test
  void weightsDecideWhichLoadIsFirst() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(4, 8));
    endpoint.submit(RequestBuilder.dispatch().withAdapter("dispatch/first@1"));
    endpoint.submit(RequestBuilder.dispatch());
    endpoint.submit(RequestBuilder.valuer());
    endpoint.runUntil(3_000);
    assertEquals(
        List.of("dispatch/first@1", "valuer/a@1", "dispatch/a@1"),
        endpoint.loads.stream().map(Object::toString).toList());
  }

  /**
   * New hot adapters are requested continually, by three callers each, faster than the store can
   * load. By demand without ageing, a single request for a rarely used adapter would wait for ever.
   */
  @Test
  void rareAdapterIsNotStarved() {
    assertTrue(rareStall(settings(4, 8)) > 0);
    assertEquals(-1, rareStall(settings(4, 8).without(SchedulerFeature.LOAD_AGEING)));
  }

  private static long rareStall(SchedulerSettings settings) {
    FakeEndpoint endpoint = new FakeEndpoint(settings);
    for (int i = 0; i < 100; i++) {
      for (int each = 0; each < 3; each++) {
        endpoint.submitAt(
            i * 400,
            RequestBuilder.valuer().withAdapter("valuer/h" + i + "@1").withCaller("c" + i + each));
      }
    }
    long[] ticket = new long[1];
    endpoint.schedule(
        1_000,
        () ->
            ticket[0] =
                endpoint.submit(
                    RequestBuilder.valuer().withAdapter("valuer/rare@1").withDeadline(15_000)));
    endpoint.runUntil(60_000);
    FakeEndpoint.Result result = endpoint.results.get(ticket[0]);
    return result.refused() ? -1 : result.stall();
  }

  /**
   * A caller fills its service's queue. When a request of another caller arrives, the newest
   * request of the first caller is refused to make room.
   */
  @Test
  void fullQueueDropsNewestRequestOfLargestClass() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(2, 1));
    RequestBuilder request = RequestBuilder.valuer().withQueueLimit(10);
    for (int i = 0; i < 10; i++) {
      endpoint.submit(request.withCaller("many"));
    }
    long other = endpoint.submit(request.withCaller("other"));
    assertTrue(endpoint.results.get(10L).refused());
    assertEquals(null, endpoint.results.get(other));
    long eleventh = endpoint.submit(request.withCaller("many"));
    assertTrue(endpoint.results.get(eleventh).refused());
    endpoint.runUntil(20_000);
    assertTrue(endpoint.results.get(other).inTime());
  }

  /**
   * The only request for the adapter cannot meet its deadline: a load would serve nobody and cost
   * others half a second.
   */
  @Test
  void noLoadForRequestsThatCannotMeetDeadline() {
    FakeEndpoint endpoint = new FakeEndpoint(settings(2, 4));
    endpoint.submit(RequestBuilder.valuer().withAdapter("valuer/a@1"));
    endpoint.submit(
        RequestBuilder.valuer().withAdapter("valuer/b@1").withDeadline(1_050).withCost(100));
    endpoint.runUntil(5_000);
    assertEquals(1, endpoint.loads.size());
    assertTrue(endpoint.results.get(2L).refused());
  }
}
