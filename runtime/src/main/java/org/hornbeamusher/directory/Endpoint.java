package org.hornbeamusher.directory;

import java.net.URI;
import java.util.Set;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;

/**
 * One life of an endpoint, as the list of endpoints describes it.
 *
 * @param life its id, which a later life may have again, and its start
 * @param service the service it belongs to
 * @param uri its address; after it has gone, another endpoint may be found there
 * @param zone its availability zone
 * @param slots requests it runs at once
 * @param leaving whether it asked for no new work
 * @param coldMillis how much longer it is slow after its start; 0 when it is not
 * @param held what an engine held when it last reported; lags
 */
public record Endpoint(
    EndpointLife life,
    String service,
    URI uri,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis,
    Set<HeldAdapter> held)
    implements ListedEntry {

  /** Copies the set. */
  public Endpoint {
    held = Set.copyOf(held);
  }

  /**
   * Returns the id.
   *
   * @return the same in each life that the endpoint starts under it
   */
  public EndpointId id() {
    return life.id();
  }

  /**
   * Returns where it is found, as the agent beside it names it too.
   *
   * @return host and port, joined by a hyphen
   */
  public String address() {
    return uri.getHost() + "-" + uri.getPort();
  }

  /**
   * Returns this life with its start.
   *
   * @param startMillis of this life
   * @return the same description
   */
  Endpoint startedAt(long startMillis) {
    return startMillis == life.startMillis()
        ? this
        : new Endpoint(
            new EndpointLife(id(), startMillis),
            service,
            uri,
            zone,
            slots,
            leaving,
            coldMillis,
            held);
  }

  /**
   * Returns another life, of which only its start is known.
   *
   * @param startMillis of the other life
   * @return in service, and without anything that this life held
   */
  Endpoint restartedAt(long startMillis) {
    return new Endpoint(
        new EndpointLife(id(), startMillis), service, uri, zone, slots, false, 0, Set.of());
  }

  /**
   * Returns the endpoint that followed this one at its address, under an id of its own.
   *
   * @param next the life that stands there now
   * @return in service, and without anything that this endpoint held
   */
  Endpoint succeededBy(EndpointLife next) {
    return new Endpoint(next, service, uri, zone, slots, false, 0, Set.of());
  }
}
