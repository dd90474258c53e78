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

/** Bytes of live objects for each thing that a process knows. */
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
            new int[] {10_000, 20_000, Letter.ADAPTERS},
            MemorySlopes::holderOfAdapters));
    slopes.add(
        slope(
            "document of 5 adapters held",
            new int[] {500, 1_000, 2_000},
            MemorySlopes::holderOfDocuments));
    slopes.add(
        slope(
            "endpoint in routing, 8 resident adapters",
            new int[] {200, 700, Letter.AGENTS},
            MemorySlopes::routerOfEndpoints));
    slopes.add(
        slope(
            "adapter in routing that was asked for",
            new int[] {2_000, 5_000, 10_000},
            MemorySlopes::routerOfAdapters));
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

  private static Object holderOfAdapters(int count) {
    LatestDocuments holder = new LatestDocuments();
    for (int first = 0, i = 0; first < count; first += Letter.ADAPTERS_OF_DOCUMENT, i++) {
      int size = Math.min(Letter.ADAPTERS_OF_DOCUMENT, count - first);
      holder.offer(Samples.document(i, size, 1));
    }
    return holder;
  }

  private static Object holderOfDocuments(int count) {
    LatestDocuments holder = new LatestDocuments();
    for (int i = 0; i < count; i++) {
      holder.offer(Samples.document(i, 5, 1));
    }
    return holder;
  }

  static Router router(int endpoints) {
    Router router = new Router(Letter.zone(0));
    for (int i = 0; i < endpoints; i++) {
      EndpointId id = new EndpointId("engine-" + i);
      router.endpointJoined(id, Letter.zone(i), Samples.POOL, NOW);
      router.loadReported(id, Samples.load(i * Letter.SLOTS), NOW);
    }
    return router;
  }

  private static Object routerOfEndpoints(int count) {
    return router(count);
  }

  private static Object routerOfAdapters(int count) {
    Router router = router(Letter.AGENTS / Letter.ZONES);
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
