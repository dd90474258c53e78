package org.hornbeamusher.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;

/**
 * Random sequences of arrivals, cancellations, failing loads, restarts and residency reports, with
 * a clock that may step back. {@link FakeEndpoint} fails the test if an adapter in use is evicted,
 * a request starts without its adapter, two loads overlap, the batch limit is exceeded or a request
 * is answered twice. A caller would see the first two as a response from another adapter or as a
 * failed request.
 */
class AgentSchedulerPropertiesTest {

  private static final int ADAPTERS = 12;

  @Property(tries = 300, seed = "4207")
  void everyRequestGetsExactlyOneResponseAndNothingInUseIsEvicted(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int slots,
      @ForAll @IntRange(min = 1, max = 6) int batch) {
    Random random = new Random(seed);
    FakeEndpoint endpoint =
        new FakeEndpoint(
            new SchedulerSettings(
                slots,
                batch,
                20,
                random.nextInt(1_500),
                1_000,
                200,
                false,
                Map.of(new PartnerId("tawhiti"), 2)));
    endpoint.failing = adapter -> adapter.adapter().value().equals("a3") || random.nextInt(8) == 0;
    int submitted = 0;
    Set<Long> cancelledUnanswered = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      switch (random.nextInt(8)) {
        case 0 -> endpoint.runUntil(endpoint.now() + random.nextInt(1_000));
        case 1 -> {
          if (random.nextInt(4) == 0) {
            endpoint.restart();
          }
        }
        case 2 -> {
          long ticket = 1 + random.nextInt(submitted + 1);
          if (ticket <= submitted && !endpoint.results.containsKey(ticket)) {
            cancelledUnanswered.add(ticket);
          }
          endpoint.cancel(ticket);
        }
        case 3 -> {
          endpoint.scheduler.residencyObserved(endpoint.resident, endpoint.now());
          endpoint.poll();
        }
        default -> {
          endpoint.submit(draw(random));
          submitted++;
        }
      }
    }
    endpoint.runUntil(endpoint.now() + 120_000);
    assertEquals(submitted, endpoint.results.size() + cancelledUnanswered.size());
    assertEquals(0, endpoint.runningCount());
  }

  private static RequestBuilder draw(Random random) {
    RequestBuilder base =
        random.nextBoolean() ? RequestBuilder.valuer() : RequestBuilder.dispatch();
    String adapter = base.service() + "/a" + random.nextInt(ADAPTERS) + "@1";
    return base.withAdapter(random.nextInt(10) == 0 ? "" : adapter)
        .withCaller("caller" + random.nextInt(3))
        .withCost(1 + random.nextInt(random.nextInt(5) == 0 ? 3_000 : 300))
        .withDeadline(random.nextInt(20_000))
        .withQueueLimit(3 + random.nextInt(10));
  }

  @Property(tries = 60, seed = "4208")
  void backloggedClassesGetWorkByWeight(
      @ForAll @IntRange(min = 1, max = 5) int zarqa,
      @ForAll @IntRange(min = 1, max = 5) int tawhiti,
      @ForAll @IntRange(min = 1, max = 12) int batch,
      @ForAll @IntRange(min = 1, max = 4) int lengthRatio) {
    FakeEndpoint endpoint =
        new FakeEndpoint(
            new SchedulerSettings(
                    2,
                    batch,
                    100_000,
                    0,
                    1_000,
                    10,
                    false,
                    Map.of(new PartnerId("zarqa"), zarqa, new PartnerId("tawhiti"), tawhiti))
                .without(SchedulerFeature.LONG_LIMIT));
    int each = 130 * batch;
    for (int i = 0; i < each / lengthRatio + 1; i++) {
      endpoint.submit(
          RequestBuilder.dispatch().withCost(100 * lengthRatio).withDeadline(10_000_000));
    }
    for (int i = 0; i < each; i++) {
      endpoint.submit(RequestBuilder.valuer().withDeadline(10_000_000));
    }
    endpoint.runUntil(12_000);
    double done = startedTokens(endpoint, "zarqa");
    double all = done + startedTokens(endpoint, "tawhiti");
    double expected = (double) zarqa / (zarqa + tawhiti);
    // Each class may be ahead by one request, and running requests have been charged in full.
    double bound = 100.0 * lengthRatio * (batch + 2) / all + 0.02;
    assertEquals(expected, done / all, bound);
  }

  private static double startedTokens(FakeEndpoint endpoint, String partner) {
    List<FakeEndpoint.Result> started =
        endpoint.results(request -> request.partner().value().equals(partner)).stream()
            .filter(result -> result.action() instanceof AgentAction.Start)
            .toList();
    return started.stream().mapToInt(result -> result.request().costTokens()).sum();
  }

  @Property(tries = 200, seed = "4209")
  void pinnedAdapterIsNeverEvicted(@ForAll long seed) {
    Random random = new Random(seed);
    int slots = 1 + random.nextInt(4);
    Residency residency = new Residency(FakeEndpoint.settings(slots, 4));
    Map<AdapterRef, Integer> pins = new java.util.HashMap<>();
    long now = 0;
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(400) - 20;
      AdapterRef ref = AdapterRef.parse("valuer/a" + random.nextInt(8) + "@1");
      switch (random.nextInt(4)) {
        case 0 -> {
          if (residency.resident(ref)) {
            residency.pin(ref);
            pins.merge(ref, 1, Integer::sum);
          }
        }
        case 1 -> {
          if (pins.getOrDefault(ref, 0) > 0) {
            residency.unpin(ref);
            pins.merge(ref, -1, Integer::sum);
          }
        }
        case 2 -> residency.recordRequest(ref, random.nextDouble(), now);
        default -> loadInto(residency, ref, pins, slots, now);
      }
    }
  }

  private static void loadInto(
      Residency residency, AdapterRef ref, Map<AdapterRef, Integer> pins, int slots, long now) {
    AdapterRef drained = AdapterRef.parse("valuer/a1@1");
    if (residency.resident(ref)) {
      return;
    }
    switch (residency.choosePlacement(ref, java.util.Optional.of(drained), other -> 0, now)) {
      case Placement.FreeSlot free -> residency.loadStarted(ref, java.util.Optional.empty(), now);
      case Placement.Evict evict -> {
        assertEquals(0, pins.getOrDefault(evict.victim(), 0), "pins of " + evict.victim());
        residency.loadStarted(ref, java.util.Optional.of(evict.victim()), now);
      }
      case Placement.NoRoom none -> {
        return;
      }
    }
    residency.loaded(ref, now);
    assertEquals(true, residency.residents().size() <= slots);
  }
}
