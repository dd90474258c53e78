package org.hornbeamusher.routing;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/**
 * What an agent reports about its endpoint; it is out of date when it arrives.
 *
 * @param running requests in the endpoint's batch
 * @param queued requests that wait at the agent
 * @param batch most requests the endpoint runs at once
 * @param slots most adapters the endpoint holds at once
 * @param queueWaitMillis what a request for a resident adapter would wait for a place in the batch
 * @param loadWaitMillis what a request for an adapter not resident would wait for its load
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

  /** Copies the set. */
  public EndpointLoad {
    resident = Set.copyOf(resident);
  }
}
