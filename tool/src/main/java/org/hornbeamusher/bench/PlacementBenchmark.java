package org.hornbeamusher.bench;

import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.placement.PlacementSettings;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.routes.AdapterKey;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the placement of one request among all endpoints of an entry. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {

  private static final String MODEL = "m0";
  private static final String SERVICE = "models";
  private static final String ZONE = "zone-a";
  private static final int ADAPTERS = 10_000;
  private static final int ADAPTER_SLOTS = 12;
  private static final int REQUEST_SLOTS = 24;
  private static final long MEMORY_TOKENS = 200_000;
  private static final int PROMPT_TOKENS = 500;
  private static final int BODY_BYTES = 650;
  private static final int PRIME = 7_919;

  /** Number of endpoints of the service. */
  @Param({"55", "400"})
  public int endpoints;

  private Placer placer;
  private long requests;

  /** Creates engines that hold different adapters and have received a few requests each. */
  @Setup
  public void fill() {
    placer = new Placer(PlacementSettings.DEFAULT, ZONE);
    for (int i = 0; i < endpoints; i++) {
      Endpoint endpoint =
          new Endpoint(
              new EndpointIncarnation(new EndpointId("i-" + Integer.toHexString(i * PRIME)), 1 + i),
              SERVICE,
              URI.create("http://10.0.0." + i % 250 + ":8000"),
              "zone-" + (char) ('a' + i % 4),
              REQUEST_SLOTS,
              false,
              0,
              Set.of());
      EndpointView view =
          new EndpointView(endpoint, MEMORY_TOKENS, ADAPTER_SLOTS, new EndpointAvailability());
      Set<AdapterVersion> resident = new HashSet<>();
      resident.add(new AdapterVersion(new AdapterKey(MODEL, ""), 1));
      for (int slot = 0; slot < ADAPTER_SLOTS; slot++) {
        resident.add(new AdapterVersion(adapter(i * ADAPTER_SLOTS + slot), 1));
      }
      view.updateFromAgent(resident, Set.of(), false);
      view.reportedLoad(i % REQUEST_SLOTS, (long) i * PROMPT_TOKENS, 1);
      placer.views().put(endpoint.id(), view);
    }
  }

  private static AdapterKey adapter(int number) {
    return new AdapterKey(MODEL, "adapter-" + number % ADAPTERS);
  }

  /**
   * Places one request for an adapter, which every other time is in some engine's memory.
   *
   * @return the placement
   */
  @Benchmark
  public Placement place() {
    requests++;
    int held = (int) (requests * PRIME % (endpoints * ADAPTER_SLOTS));
    AdapterKey adapter = adapter(requests % 2 == 0 ? held : held + endpoints * ADAPTER_SLOTS);
    PlacementRequest request =
        new PlacementRequest(
            requests,
            Optional.of(new AdapterVersion(adapter, 1)),
            PROMPT_TOKENS,
            PROMPT_TOKENS,
            BODY_BYTES,
            List.of(new PromptPart("head", 93), new PromptPart("own", 62)));
    return placer.place(SERVICE, request, Set.of(), requests);
  }
}
