package org.hornbeamusher.directory;

import java.net.URI;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;

/**
 * One incarnation of an endpoint, as described by its entry in the list of endpoints.
 *
 * @param incarnation its id, which later incarnations may reuse, and its start time
 * @param service the service it belongs to
 * @param uri its address; another endpoint may use it after this one has gone
 * @param zone its availability zone
 * @param slots the number of requests it runs at once
 * @param leaving whether it has asked for no new work
 * @param coldMillis remaining time of the slow phase after its start; 0 when that is over
 * @param residentAdapters the adapters in an engine's memory at its last report, which may be
 *     seconds old
 * @param software the version of its software; empty until the list contains this incarnation
 */
public record Endpoint(
    EndpointIncarnation incarnation,
    String service,
    URI uri,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis,
    Set<AdapterVersion> residentAdapters,
    Optional<SoftwareVersion> software)
    implements ListedEntry {

  /** Copies the set. */
  public Endpoint {
    residentAdapters = Set.copyOf(residentAdapters);
  }

  /**
   * Creates an endpoint of unknown software.
   *
   * @param incarnation its id and start time
   * @param service the service it belongs to
   * @param uri its address
   * @param zone its availability zone
   * @param slots the number of requests it runs at once
   * @param leaving whether it has asked for no new work
   * @param coldMillis remaining time of the slow phase after its start
   * @param residentAdapters the adapters in an engine's memory
   */
  public Endpoint(
      EndpointIncarnation incarnation,
      String service,
      URI uri,
      String zone,
      int slots,
      boolean leaving,
      long coldMillis,
      Set<AdapterVersion> residentAdapters) {
    this(
        incarnation,
        service,
        uri,
        zone,
        slots,
        leaving,
        coldMillis,
        residentAdapters,
        Optional.empty());
  }

  /**
   * Returns the endpoint's id.
   *
   * @return the id, which is the same for all incarnations that start under it
   */
  public EndpointId id() {
    return incarnation.id();
  }

  /**
   * Returns its address in the form that its agent uses.
   *
   * @return host and port, joined by a hyphen
   */
  public String address() {
    return uri.getHost() + "-" + uri.getPort();
  }

  /**
   * Returns this incarnation with the given start time.
   *
   * @param startMillis start of this incarnation
   * @return an otherwise equal endpoint
   */
  Endpoint withStart(long startMillis) {
    return startMillis == incarnation.startMillis()
        ? this
        : new Endpoint(
            new EndpointIncarnation(id(), startMillis),
            service,
            uri,
            zone,
            slots,
            leaving,
            coldMillis,
            residentAdapters,
            software);
  }

  /**
   * Returns another incarnation of which only the start time is known.
   *
   * @param startMillis start of the other incarnation
   * @return an endpoint that is in service and has no adapters in memory, of unknown software
   */
  Endpoint restartedAt(long startMillis) {
    return new Endpoint(
        new EndpointIncarnation(id(), startMillis), service, uri, zone, slots, false, 0, Set.of());
  }

  /**
   * Returns the endpoint that has replaced this one at its address under another id.
   *
   * @param next the incarnation that runs there now
   * @return an endpoint that is in service and has no adapters in memory, of unknown software
   */
  Endpoint succeededBy(EndpointIncarnation next) {
    return new Endpoint(next, service, uri, zone, slots, false, 0, Set.of());
  }
}
