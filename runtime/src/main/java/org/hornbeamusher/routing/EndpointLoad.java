package org.hornbeamusher.routing;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/**
 * An agent's load report about its endpoint, which is already out of date on arrival.
 *
 * @param running number of requests in the endpoint's batch
 * @param queued number of requests queued at the agent
 * @param batch maximum number of requests that the endpoint runs at once
 * @param slots maximum number of adapters that the endpoint holds at once
 * @param queueWaitMillis expected wait of a request for a resident adapter for a batch slot
 * @param loadWaitMillis expected wait of a request for a non-resident adapter for its load
 * @param resident adapters that are loaded
 */
public record EndpointLoad(
    int running,
    int queued,
    int batch,
    int slots,
    long queueWaitMillis,
    long loadWaitMillis,
    Set<AdapterRef> resident) {

  /** Creates a report with an immutable copy of the set. */
  public EndpointLoad {
    resident = Set.copyOf(resident);
  }
}
