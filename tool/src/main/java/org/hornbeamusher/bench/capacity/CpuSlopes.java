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

/** Processor time for each thing that a process does. */
final class CpuSlopes {

  private static final int REPETITIONS = 5;
  private static final int FEW = 40;
  private static final int MANY = 20_000;
  private static final long NOW = 1_000_000;
  private static final long REMAINING_MILLIS = 5_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final String MICROS = "us of CPU";

  private CpuSlopes() {}

  static List<Slope> measure() {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(reportOut());
    slopes.add(reportIn());
    slopes.add(route());
    slopes.add(changeFromTable());
    slopes.add(changeFromPeer());
    slopes.add(digestHash());
    return slopes;
  }

  private static Slope slope(String name, int runs, Runnable operation) {
    double[] each = Probes.cpuNanosEach(REPETITIONS, runs, operation);
    for (int i = 0; i < each.length; i++) {
      each[i] /= NANOS_PER_MICRO;
    }
    return Slope.median(name, MICROS, each);
  }

  private static Slope reportOut() {
    Message.LoadReport report = Samples.report(0);
    return slope(
        "load report encoded (agent, each entry)", MANY, () -> MessageCodec.encode(report));
  }

  private static Slope reportIn() {
    Router router = MemorySlopes.router(Letter.AGENTS / Letter.ZONES);
    byte[] frame = MessageCodec.encode(Samples.report(0));
    EndpointId endpoint = new EndpointId("engine-0");
    return slope(
        "load report decoded and taken into routing",
        MANY,
        () -> {
          MessageCodec.decode(frame);
          router.loadReported(endpoint, Samples.load(0), NOW);
        });
  }

  private static Slope route() {
    Router router = MemorySlopes.router(Letter.AGENTS / Letter.ZONES);
    ServiceDocument document = Samples.document(0, 1, 1);
    RouteRequest request =
        new RouteRequest(
            Samples.POOL,
            Optional.of(Samples.ref(3)),
            0,
            document.weights(),
            Set.of(),
            REMAINING_MILLIS);
    return slope("request routed over 93 endpoints", MANY, () -> router.route(request, NOW));
  }

  private static Slope changeFromTable() {
    String text = Samples.text(Letter.ADAPTERS_OF_DOCUMENT);
    return slope(
        "change read from the table (3,000 adapters)",
        FEW,
        () -> {
          if (!(ServiceDocumentReader.read("x", text) instanceof DocumentParseResult.Valid)) {
            throw HornbeamusherException.notRun(FailureType.INTERNAL, "sample document");
          }
        });
  }

  /** Returns the frame content by which a peer hands on one changed adapter. */
  static byte[] update() {
    LatestDocuments peer = new LatestDocuments();
    peer.offer(Samples.document(0, Letter.ADAPTERS_OF_DOCUMENT, 1));
    peer.offer(Samples.document(0, Letter.ADAPTERS_OF_DOCUMENT, 2));
    return DocumentCodec.encodeUpdate(peer.updateSince(Samples.service(0), 1));
  }

  private static Slope changeFromPeer() {
    byte[] update = update();
    ServiceDocument held = Samples.document(0, Letter.ADAPTERS_OF_DOCUMENT, 1);
    return slope(
        "change pulled from a peer (3,000 adapters)",
        FEW,
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
    for (int i = 0; i < Letter.DOCUMENTS; i++) {
      holder.offer(Samples.document(i, 1, 1));
    }
    return slope("digest of 32 documents for a heartbeat", MANY, holder::digestHash);
  }
}
