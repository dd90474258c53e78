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
 * Remembers which endpoint followed which at one address, before the list says so.
 *
 * <p>An engine that starts again may have a new id at the address that it had. The agent beside it
 * sees that within half a second; the list names the former id for up to three more seconds and the
 * new one only after a second or two. Until then requests go to an endpoint that is no more and are
 * refused, while the engine that stands there gets none. So an agent that names a new id at the
 * address of a known engine has the former one removed and the new one stand in its place:
 *
 * <ul>
 *   <li>a <em>superseded</em> id never comes back, however long the list goes on to name it;
 *   <li>an id that only an agent has named is <em>announced</em>: it is used as long as its agent
 *       sees it and for {@link #ANNOUNCED_MILLIS}, by when the list must have named it;
 *   <li>an id that the list has named is the list's from then on: an agent that still names one
 *       which has left the list does not bring it back.
 *   <li>where the list names both already, the former one is <em>displaced</em>: it is not used
 *       while its entry may still be about to lapse. One that is listed for longer is alive, and
 *       the agent's word was late; so it comes back, and at once when the agent names it.
 * </ul>
 *
 * <p>Example: all engines lose power and are back 1.1 s later. An entry that starts with them reads
 * a list of the former ids. Without this, its requests are refused for 2.1 s more, until the former
 * entries lapse.
 */
final class Successors {

  /**
   * An endpoint writes its entry when it starts and each 1.2 s, entries are shown 0.8 s late and
   * read each 0.7 s; the rest is for one of these that fails.
   */
  static final long ANNOUNCED_MILLIS = 5_000;

  /** More endpoints than come and go while a word about them may be late. */
  private static final int MOST_REMEMBERED = 4_096;

  private final Set<EndpointId> superseded = new LinkedHashSet<>();

  /** Until when each displaced endpoint is not used. */
  private final Map<EndpointId, Long> displaced = new HashMap<>();

  /** Which endpoint the agent at each address has named last. */
  private final Map<String, EndpointId> namedAt = new HashMap<>();

  /** Keys of entries, of usable ones and of others: a key need not be an id. */
  private final Set<String> listed = new LinkedHashSet<>();

  /** When each announced endpoint was announced. */
  private final Map<EndpointId, Long> announced = new HashMap<>();

  /** The endpoint seen last at each address; its successor may come after it has left the list. */
  private final LinkedHashMap<String, Endpoint> lastAt = new LinkedHashMap<>(16, 0.75f, true);

  /** The list names an endpoint. */
  void listed(ListedEntry entry) {
    switch (entry) {
      case Endpoint endpoint -> {
        remember(listed, endpoint.id().value());
        announced.remove(endpoint.id());
      }
      case UnusableEntry unusable -> remember(listed, unusable.key());
    }
  }

  /** Tells whether another endpoint stands where this one stood, as far as is known now. */
  boolean superseded(EndpointId id, long now) {
    return superseded.contains(id) || now < displaced.getOrDefault(id, Long.MIN_VALUE);
  }

  /** Tells whether an endpoint had to make way for another one that the list names as well. */
  boolean displaced(EndpointId id) {
    return displaced.containsKey(id);
  }

  /**
   * The agent at an address names an endpoint that the list has named.
   *
   * @param others that the list names at the same address; they make way if this is news
   * @return whether any makes way, or the endpoint itself had to and is back
   */
  boolean standsAt(EndpointId id, String address, List<Endpoint> others, long now) {
    if (id.equals(namedAt.put(address, id))) {
      return false;
    }
    displaced.values().removeIf(until -> until <= now);
    boolean back = displaced.remove(id) != null;
    others.forEach(one -> displaced.put(one.id(), now + ANNOUNCED_MILLIS));
    return back || !others.isEmpty();
  }

  /** No agent speaks of an endpoint any more. */
  void agentLost(EndpointId id) {
    namedAt.values().remove(id);
  }

  /** An endpoint stands at its address. */
  void stands(Endpoint endpoint) {
    lastAt.put(endpoint.address(), endpoint);
    if (lastAt.size() > MOST_REMEMBERED) {
      lastAt.remove(lastAt.keySet().iterator().next());
    }
  }

  /**
   * Returns whose place an endpoint takes.
   *
   * @param id what the agent names
   * @param address of the engine beside the agent, as {@link Endpoint#address} has it
   * @return empty when the list has named it, so that its place is known, or none was known there
   */
  Optional<Endpoint> predecessor(EndpointId id, String address) {
    if (listed.contains(id.value()) || superseded.contains(id) || announced.containsKey(id)) {
      return Optional.empty();
    }
    return Optional.ofNullable(lastAt.get(address)).filter(last -> !last.id().equals(id));
  }

  /** An endpoint takes the place of another one. */
  void announced(EndpointId id, EndpointId former, long now) {
    remember(superseded, former);
    announced.remove(former);
    announced.put(id, now);
  }

  /** Tells whether the list may still be about to name an endpoint. */
  boolean awaited(EndpointId id, long now) {
    Long since = announced.get(id);
    return since != null && now - since < ANNOUNCED_MILLIS;
  }

  private static <T> void remember(Set<T> ids, T id) {
    ids.remove(id);
    ids.add(id);
    if (ids.size() > MOST_REMEMBERED) {
      ids.remove(ids.iterator().next());
    }
  }
}
