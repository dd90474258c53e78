package org.hornbeamusher.bench.capacity;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.routing.Router;

/** Measures the heap bytes of live objects for each item that a process stores. */
final class MemorySlopes {

  private static final int REPETITIONS = 2;
  private static final long NOW = 1_000_000;
  private static final long REMAINING_MILLIS = 5_000;

  private MemorySlopes() {}

  static List<Slope> measure() throws InterruptedException {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(
        slope(
            "known adapter in a document held",
            new int[] {10_000, 20_000, ExpectedScale.ADAPTERS},
            MemorySlopes::holderWithAdapters));
    slopes.add(
        slope(
            "document of 5 adapters held",
            new int[] {500, 1_000, 2_000},
            MemorySlopes::holderWithDocuments));
    slopes.add(
        slope(
            "endpoint in routing, 8 resident adapters",
            new int[] {200, 700, ExpectedScale.AGENTS},
            MemorySlopes::routerWithEndpoints));
    slopes.add(
        slope(
            "adapter in routing that was asked for",
            new int[] {2_000, 5_000, 10_000},
            MemorySlopes::routerWithAdapters));
    return slopes;
  }

  private static Slope slope(String name, int[] counts, IntFunction<Object> make)
      throws InterruptedException {
    Reference.reachabilityFence(make.apply(counts[0]));
    double[] xs = new double[counts.length * REPETITIONS];
    double[] ys = new double[xs.length];
    for (int i = 0; i < xs.length; i++) {
      int count = counts[i % counts.length];
      long before = Probes.heapBytes();
      Object kept = make.apply(count);
      xs[i] = count;
      ys[i] = Probes.heapBytes() - before;
      Reference.reachabilityFence(kept);
    }
    return Slope.fit(name, "bytes", xs, ys);
  }

  private static Object holderWithAdapters(int count) {
    LatestDocuments holder = new LatestDocuments();
    for (int first = 0, i = 0; first < count; first += ExpectedScale.ADAPTERS_PER_DOCUMENT, i++) {
      int size = Math.min(ExpectedScale.ADAPTERS_PER_DOCUMENT, count - first);
      holder.offer(Samples.document(i, size, 1));
    }
    return holder;
  }

  private static Object holderWithDocuments(int count) {
    LatestDocuments holder = new LatestDocuments();
    for (int i = 0; i < count; i++) {
      holder.offer(Samples.document(i, 5, 1));
    }
    return holder;
  }

  static Router router(int endpoints) {
    Router router = new Router(ExpectedScale.zone(0));
    for (int i = 0; i < endpoints; i++) {
      EndpointId id = new EndpointId("engine-" + i);
      router.endpointJoined(id, ExpectedScale.zone(i), Samples.POOL, NOW);
      router.loadReported(id, Samples.load(i * ExpectedScale.ADAPTER_SLOTS), NOW);
    }
    return router;
  }

  private static Object routerWithEndpoints(int count) {
    return router(count);
  }

  private static Object routerWithAdapters(int count) {
    Router router = router(ExpectedScale.AGENTS / ExpectedScale.ZONES);
    ServiceDocument document = Samples.document(0, 1, 1);
    for (int i = 0; i < count; i++) {
      router.route(
          new RouteRequest(
              Samples.POOL,
              Optional.of(Samples.ref(i)),
              0,
              document.weights(),
              Set.of(),
              REMAINING_MILLIS),
          NOW);
    }
    return router;
  }
}
