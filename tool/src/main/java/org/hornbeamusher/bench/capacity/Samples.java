package org.hornbeamusher.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.wire.Message;

/** Typical documents and load reports, the same in every run. */
final class Samples {

  static final PoolName POOL = new PoolName("valuer-engines");

  private static final int BATCH = 16;

  private Samples() {}

  static ServiceName service(int number) {
    return new ServiceName("valuer-llm-" + number);
  }

  static AdapterName adapter(int number) {
    return new AdapterName("dealer-" + number + "-2026");
  }

  static AdapterRef ref(int number) {
    return new AdapterRef(service(0), adapter(number), 1);
  }

  static ServiceDocument document(int number, int adapters, long version) {
    Map<AdapterName, ServiceDocument.AdapterDeclaration> map = new HashMap<>();
    for (int i = 0; i < adapters; i++) {
      String weights = new String("valuer-llm/" + adapter(i) + "/{version}");
      int current = version > 1 && i == 0 ? 2 : 1;
      map.put(adapter(i), new ServiceDocument.AdapterDeclaration(current, List.of(1, 2), weights));
    }
    return new ServiceDocument(
        service(number),
        new PartnerId("tawhiti"),
        new TeamId("valuations"),
        version,
        false,
        POOL,
        new ServiceDocument.ServiceKind.Model(
            "valuer-base", map, true, ExpectedScale.ADAPTER_SLOTS, BATCH),
        new ServiceDocument.CostWeights(3, 1),
        new ServiceDocument.ServiceLimits(1, 64, 5_000, 60_000, 2_048),
        Map.of());
  }

  static String text(int adapters) {
    StringBuilder text =
        new StringBuilder(
            """
            service = "valuer-llm-0"
            partner = "tawhiti"
            team = "valuations"
            pool = "valuer-engines"
            [model]
            base_model = "valuer-base"
            weights = "valuer-llm/{adapter}/{version}"
            slots = 8
            batch = 16
            """);
    for (int i = 0; i < adapters; i++) {
      text.append("[adapters.").append(adapter(i)).append("]\ncurrent = 1\nversions = [1, 2]\n");
    }
    return text.toString();
  }

  static EndpointLoad load(int first) {
    Set<AdapterRef> resident = new HashSet<>();
    for (int i = 0; i < ExpectedScale.ADAPTER_SLOTS; i++) {
      resident.add(ref(first + i));
    }
    return new EndpointLoad(9, 3, BATCH, ExpectedScale.ADAPTER_SLOTS, 120, 700, resident);
  }

  static Message.LoadReport report(int first) {
    List<String> resident = new ArrayList<>();
    load(first).resident().forEach(ref -> resident.add(ref.toString()));
    return new Message.LoadReport(9, 3, BATCH, ExpectedScale.ADAPTER_SLOTS, 120, 700, resident);
  }
}
