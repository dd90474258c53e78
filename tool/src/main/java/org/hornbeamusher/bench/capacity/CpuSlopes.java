package org.hornbeamusher.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.DocumentCodec;
import org.hornbeamusher.documents.DocumentParseResult;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.documents.ServiceDocumentReader;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.routing.Router;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.MessageCodec;

/** Measures the CPU time of each operation of a process. */
final class CpuSlopes {

  private static final int REPETITIONS = 5;
  private static final int FEW_RUNS = 40;
  private static final int MANY_RUNS = 20_000;
  private static final long NOW = 1_000_000;
  private static final long REMAINING_MILLIS = 5_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final String MICROS = "us of CPU";

  private CpuSlopes() {}

  static List<Slope> measure() {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(encodeReport());
    slopes.add(decodeReport());
    slopes.add(route());
    slopes.add(changeFromTable());
    slopes.add(changeFromPeer());
    slopes.add(digestHash());
    return slopes;
  }

  private static Slope slope(String name, int runs, Runnable operation) {
    double[] each = Probes.cpuNanosPerRun(REPETITIONS, runs, operation);
    for (int i = 0; i < each.length; i++) {
      each[i] /= NANOS_PER_MICRO;
    }
    return Slope.median(name, MICROS, each);
  }

  private static Slope encodeReport() {
    Message.LoadReport report = Samples.report(0);
    return slope(
        "load report encoded (agent, each entry)", MANY_RUNS, () -> MessageCodec.encode(report));
  }

  private static Slope decodeReport() {
    Router router = MemorySlopes.router(ExpectedScale.AGENTS / ExpectedScale.ZONES);
    byte[] frame = MessageCodec.encode(Samples.report(0));
    EndpointId endpoint = new EndpointId("engine-0");
    return slope(
        "load report decoded and taken into routing",
        MANY_RUNS,
        () -> {
          MessageCodec.decode(frame);
          router.loadReported(endpoint, Samples.load(0), NOW);
        });
  }

  private static Slope route() {
    Router router = MemorySlopes.router(ExpectedScale.AGENTS / ExpectedScale.ZONES);
    ServiceDocument document = Samples.document(0, 1, 1);
    RouteRequest request =
        new RouteRequest(
            Samples.POOL,
            Optional.of(Samples.ref(3)),
            0,
            document.weights(),
            Set.of(),
            REMAINING_MILLIS);
    return slope("request routed over 93 endpoints", MANY_RUNS, () -> router.route(request, NOW));
  }

  private static Slope changeFromTable() {
    String text = Samples.text(ExpectedScale.ADAPTERS_PER_DOCUMENT);
    return slope(
        "change read from the table (3,000 adapters)",
        FEW_RUNS,
        () -> {
          if (!(ServiceDocumentReader.read("x", text) instanceof DocumentParseResult.Valid)) {
            throw HornbeamusherException.notRun(FailureType.INTERNAL, "sample document");
          }
        });
  }

  /** Returns the content of the frame in which a peer sends one changed adapter. */
  static byte[] update() {
    LatestDocuments peer = new LatestDocuments();
    peer.offer(Samples.document(0, ExpectedScale.ADAPTERS_PER_DOCUMENT, 1));
    peer.offer(Samples.document(0, ExpectedScale.ADAPTERS_PER_DOCUMENT, 2));
    return DocumentCodec.encodeUpdate(peer.updateSince(Samples.service(0), 1));
  }

  private static Slope changeFromPeer() {
    byte[] update = update();
    ServiceDocument held = Samples.document(0, ExpectedScale.ADAPTERS_PER_DOCUMENT, 1);
    return slope(
        "change pulled from a peer (3,000 adapters)",
        FEW_RUNS,
        () -> {
          LatestDocuments holder = new LatestDocuments();
          holder.offer(held);
          if (holder.apply(DocumentCodec.decodeUpdate(update)).isEmpty()) {
            throw HornbeamusherException.notRun(FailureType.INTERNAL, "sample update");
          }
        });
  }

  private static Slope digestHash() {
    LatestDocuments holder = new LatestDocuments();
    for (int i = 0; i < ExpectedScale.DOCUMENTS; i++) {
      holder.offer(Samples.document(i, 1, 1));
    }
    return slope("digest of 32 documents for a heartbeat", MANY_RUNS, holder::digestHash);
  }
}
