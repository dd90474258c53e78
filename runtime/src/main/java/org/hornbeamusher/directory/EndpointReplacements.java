package org.hornbeamusher.directory;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.EndpointId;

/**
 * Tracks which endpoint has replaced which at an address, before the list shows it.
 *
 * <p>An engine that restarts may get a new id at the same address. Its agent notices that within
 * half a second; the list contains the former id for up to three more seconds and the new one only
 * after one or two seconds. Until then requests would be sent to the former endpoint and be
 * refused, and the running engine would get none. So when an agent reports a new id at the address
 * of a known engine, the former endpoint is removed and the new one takes its place:
 *
 * <ul>
 *   <li>a <em>superseded</em> id never returns, however long the list still contains it;
 *   <li>an id that only an agent has reported is <em>announced</em>: it is used while its agent
 *       reports it and for {@link #ANNOUNCEMENT_TIMEOUT_MILLIS}, by when the list must contain it;
 *   <li>an id that has been listed is governed by the list from then on: an agent's report does not
 *       bring it back after it has left the list;
 *   <li>if the list already contains both, the former endpoint is <em>displaced</em>: it is not
 *       used until its entry must have expired. If it is still listed after that, it is alive and
 *       the agent's report was stale, so it is used again; a report of its agent brings it back at
 *       once.
 * </ul>
 *
 * <p>Example: all engines lose power and are back 1.1 s later. An entry process that starts with
 * them reads a list of the former ids. Without this class its requests would be refused for 2.1 s
 * more, until the former entries expire.
 */
final class EndpointReplacements {

  /**
   * An endpoint writes its list entry at its start and every 1.2 s; the store shows entries 0.8 s
   * late, and they are read every 0.7 s. The remainder allows for one of these to fail.
   */
  static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 5_000;

  /** More endpoints than can come and go while a report about them may be late. */
  private static final int MAX_REMEMBERED = 4_096;

  private final Set<EndpointId> superseded = new LinkedHashSet<>();

  /** The time until which each displaced endpoint is not used. */
  private final Map<EndpointId, Long> displaced = new HashMap<>();

  /** The endpoint that the agent at each address reported last. */
  private final Map<String, EndpointId> reportedAt = new HashMap<>();

  /** Keys of all list entries seen, usable or not; a key need not be a valid id. */
  private final Set<String> listed = new LinkedHashSet<>();

  /** When each announced endpoint was announced. */
  private final Map<EndpointId, Long> announced = new HashMap<>();

  /**
   * The last known endpoint at each address, also after it has left the list: its successor may be
   * reported later.
   */
  private final LinkedHashMap<String, Endpoint> lastAt = new LinkedHashMap<>(16, 0.75f, true);

  /** Records an entry of the list. */
  void recordListed(ListedEntry entry) {
    switch (entry) {
      case Endpoint endpoint -> {
        remember(listed, endpoint.id().value());
        announced.remove(endpoint.id());
      }
      case UnusableEntry unusable -> remember(listed, unusable.key());
    }
  }

  /** Returns whether this endpoint is not used because another one has replaced it. */
  boolean isReplaced(EndpointId id, long now) {
    return superseded.contains(id) || now < displaced.getOrDefault(id, Long.MIN_VALUE);
  }

  /** Returns whether an endpoint was displaced by another one that is listed as well. */
  boolean isDisplaced(EndpointId id) {
    return displaced.containsKey(id);
  }

  /** Returns whether the last report of the agent at an address was of this endpoint as well. */
  boolean isReportedAt(EndpointId id, String address) {
    return id.equals(reportedAt.get(address));
  }

  /**
   * Records that the agent at an address reports a listed endpoint. If its previous report was of
   * another endpoint, the other endpoints at the address are displaced.
   *
   * @param others the other endpoints that are listed at the same address
   * @return whether any endpoint was displaced, or this endpoint was and is used again
   */
  boolean agentReported(EndpointId id, String address, List<Endpoint> others, long now) {
    if (id.equals(reportedAt.put(address, id))) {
      return false;
    }
    displaced.values().removeIf(until -> until <= now);
    boolean restored = displaced.remove(id) != null;
    others.forEach(one -> displaced.put(one.id(), now + ANNOUNCEMENT_TIMEOUT_MILLIS));
    return restored || !others.isEmpty();
  }

  /** Handles the loss of an endpoint's agent. */
  void agentLost(EndpointId id) {
    reportedAt.values().remove(id);
  }

  /** Records the endpoint that runs at its address. */
  void recordEndpoint(Endpoint endpoint) {
    lastAt.put(endpoint.address(), endpoint);
    if (lastAt.size() > MAX_REMEMBERED) {
      lastAt.remove(lastAt.keySet().iterator().next());
    }
  }

  /**
   * Returns the endpoint that a newly reported one replaces.
   *
   * @param id the id that the agent reports
   * @param address of the agent's engine, in the form of {@link Endpoint#address}
   * @return empty if the id has been listed, superseded or announced before, or if no other
   *     endpoint was known at the address
   */
  Optional<Endpoint> predecessor(EndpointId id, String address) {
    if (listed.contains(id.value()) || superseded.contains(id) || announced.containsKey(id)) {
      return Optional.empty();
    }
    return Optional.ofNullable(lastAt.get(address)).filter(last -> !last.id().equals(id));
  }

  /** Records that an endpoint that only its agent has reported replaces another one. */
  void announce(EndpointId id, EndpointId former, long now) {
    remember(superseded, former);
    announced.remove(former);
    announced.put(id, now);
  }

  /** Returns whether an announced endpoint may still appear in the list. */
  boolean isAnnounced(EndpointId id, long now) {
    Long since = announced.get(id);
    return since != null && now - since < ANNOUNCEMENT_TIMEOUT_MILLIS;
  }

  private static <T> void remember(Set<T> ids, T id) {
    ids.remove(id);
    ids.add(id);
    if (ids.size() > MAX_REMEMBERED) {
      ids.remove(ids.iterator().next());
    }
  }
}
