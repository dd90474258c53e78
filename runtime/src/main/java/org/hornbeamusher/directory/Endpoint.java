package org.hornbeamusher.directory;

import java.net.URI;
import java.util.Set;
import org.hornbeamusher.ids.EndpointId;

/**
 * One life of an endpoint, as the list of endpoints describes it.
 *
 * @param id differs after every restart
 * @param service the service it belongs to
 * @param uri its address; after it has gone, another endpoint may be found there
 * @param zone its availability zone
 * @param slots requests it runs at once
 * @param leaving whether it asked for no new work
 * @param held what an engine held when it last reported; lags
 */
public record Endpoint(
    EndpointId id,
    String service,
    URI uri,
    String zone,
    int slots,
    boolean leaving,
    Set<HeldAdapter> held)
    implements ListedEntry {

  /** Copies the set. */
  public Endpoint {
    held = Set.copyOf(held);
  }
}
