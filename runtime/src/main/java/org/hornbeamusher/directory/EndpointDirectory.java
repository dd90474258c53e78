package org.hornbeamusher.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * Determines the current endpoints from successive reads of the endpoint list and from the reports
 * of agents.
 *
 * <p>The list is kept by a store that has outages. During an outage list entries expire although
 * their endpoints are alive, because no endpoint can renew its entry; they are back within about
 * two seconds after the outage. Applying an incomplete list at once would remove every endpoint
 * right after an outage. Therefore:
 *
 * <ul>
 *   <li>while the store does not respond, nothing changes;
 *   <li>an endpoint that is missing from a list is removed at once, unless that list starts a
 *       {@link GracePeriod}: then it is removed when the period ends;
 *   <li>an incarnation of an endpoint that has announced that it is leaving never returns to
 *       service; a later incarnation with the same id does;
 *   <li>{@link IncarnationTracker} decides which incarnation of an id is the current one, from the
 *       list and from the endpoint's agent; a list entry of another incarnation is ignored;
 *   <li>an engine that its agent reports under a new id replaces the one that the list still
 *       contains at its address ({@link EndpointReplacements}).
 * </ul>
 *
 * <p>Other programs than the endpoints can write to the list. A list entry that is unusable, or
 * that moves an endpoint to a service that is not configured, was not written by the endpoint. The
 * last usable entry then stays valid until the entry is deleted: an endpoint that was leaving is
 * still leaving, and one in service stays in service. Removing the endpoint would let a single
 * faulty writer remove all endpoints. If the endpoint has in fact gone, its requests fail and are
 * retried elsewhere like after any failure. An id that never had a usable entry is not used.
 *
 * <p>The existing services are known from the configuration. Before the first configuration no
 * endpoint is used. Each new configuration is applied to the last list again, so that the endpoints
 * of a new service are known at once.
 *
 * <p>Example: the store has an outage from 10.0 s to 15.0 s, and at 15.1 s the list contains one of
 * nine endpoints. All nine are kept. At 16.8 s the list contains eight: the ninth is removed when
 * the grace period ends, at 17.7 s.
 */
public final class EndpointDirectory {

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * Limit on the ids whose incarnations are remembered, including removed endpoints: more than can
   * come and go in the seconds by which a report may be late.
   */
  private static final int MAX_TRACKED_IDS = 4_096;

  private final Map<EndpointId, Endpoint> known = new HashMap<>();

  /** The list entries that are unusable now, by key. */
  private final Map<String, UnusableEntry> unusable = new HashMap<>();

  /** The endpoints that are missing from the last list and are kept. */
  private final Set<EndpointId> missing = new HashSet<>();

  private List<ListedEntry> lastList = List.of();
  private Optional<Set<String>> services = Optional.empty();

  /** The incarnations of each id; the least recently reported id is evicted first. */
  private final Map<EndpointId, IncarnationTracker> trackers =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, IncarnationTracker> eldest) {
          return size() > MAX_TRACKED_IDS;
        }
      };

  private final EndpointReplacements replacements = new EndpointReplacements();

  private final GracePeriod gracePeriod;
  private long lastListMillis = NEVER;
  private long lastRequestMillis = NEVER;

  /**
   * Creates an empty directory.
   *
   * @param settings the timing of the list
   */
  public EndpointDirectory(EndpointListSettings settings) {
    gracePeriod = new GracePeriod(settings);
  }

  /**
   * Records that a read of the list got no response.
   *
   * @param sentMillis when the request was sent
   */
  public void listReadFailed(long sentMillis) {
    gracePeriod.requestFailed(sentMillis);
  }

  /**
   * Applies a list that was read from the store.
   *
   * @param listed all list entries
   * @param requestedMillis when it was requested; its content may be as old as that
   * @param now milliseconds
   * @return the changes
   */
  public Change listReceived(List<? extends ListedEntry> listed, long requestedMillis, long now) {
    final long gap = gracePeriod.received(requestedMillis, now);
    lastListMillis = now;
    lastRequestMillis = requestedMillis;
    lastList = List.copyOf(listed);
    Set<String> keys = lastList.stream().map(EndpointDirectory::key).collect(Collectors.toSet());
    unusable.keySet().retainAll(keys);
    lastList.forEach(replacements::recordListed);
    List<EndpointId> newlyMissing = updateMissing(keys);
    if (gracePeriod.isOver(requestedMillis)) {
      return applyLastList(removeMissing(now));
    }
    long kept = missing.isEmpty() ? 0 : gracePeriod.remainingMillis(now);
    return applyLastList(List.of()).with(new MissingEndpoints(newlyMissing, gap, kept));
  }

  /**
   * Removes the endpoints that are missing from the last list if the grace period is over. If no
   * list has arrived recently, nothing is removed before the next one.
   *
   * @param now milliseconds
   * @return the removed endpoints
   */
  public Change expire(long now) {
    boolean decided = gracePeriod.remainingMillis(now) == 0 && gracePeriod.isCurrent(now);
    return new Change(List.of(), decided ? removeMissing(now) : List.of(), List.of(), List.of());
  }

  private List<Endpoint> removeMissing(long now) {
    List<Endpoint> gone =
        known.values().stream()
            .filter(old -> missing.contains(old.id()) && !replacements.isAnnounced(old.id(), now))
            .toList();
    gone.forEach(old -> known.remove(old.id()));
    gone.forEach(old -> missing.remove(old.id()));
    return gone;
  }

  /** Updates the missing endpoints and returns those that the previous list contained. */
  private List<EndpointId> updateMissing(Set<String> keys) {
    Set<EndpointId> before = Set.copyOf(missing);
    missing.clear();
    known.keySet().stream().filter(id -> !keys.contains(id.value())).forEach(missing::add);
    return missing.stream().filter(id -> !before.contains(id)).toList();
  }

  /**
   * Returns whether an endpoint is kept although it is missing from the last list.
   *
   * @param id the endpoint
   * @return false for a listed endpoint and for an unknown one
   */
  public boolean missing(EndpointId id) {
    return missing.contains(id) && known.containsKey(id);
  }

  /**
   * Applies the services of a new configuration to the last list.
   *
   * @param configured the names of all services
   * @return the changes
   */
  public Change servicesChanged(Set<String> configured) {
    services = Optional.of(Set.copyOf(configured));
    return applyLastList(List.of());
  }

  /** Applies the last list. */
  private Change applyLastList(List<Endpoint> gone) {
    ChangeBuilder changes = new ChangeBuilder();
    if (services.isPresent()) {
      for (ListedEntry entry : lastList) {
        switch (validate(entry, services.get())) {
          case Endpoint endpoint -> {
            unusable.remove(endpoint.id().value());
            if (!replacements.isReplaced(endpoint.id(), lastListMillis)) {
              update(endpoint, changes);
            }
          }
          case UnusableEntry unusableEntry -> {
            UnusableEntry before = unusable.put(unusableEntry.key(), unusableEntry);
            if (before == null || !before.reason().equals(unusableEntry.reason())) {
              changes.unusable.add(unusableEntry);
            }
          }
        }
      }
    }
    return new Change(changes.changed, gone, changes.ended, changes.unusable);
  }

  /**
   * Replaces an endpoint whose service is not configured by an unusable entry. A known endpoint is
   * accepted, because its service may be removed from the configuration before the endpoint leaves.
   */
  private ListedEntry validate(ListedEntry entry, Set<String> configured) {
    if (!(entry instanceof Endpoint endpoint) || configured.contains(endpoint.service())) {
      return entry;
    }
    Endpoint old = known.get(endpoint.id());
    return old != null && old.service().equals(endpoint.service())
        ? entry
        : new UnusableEntry(
            endpoint.id().value(), "its service is not configured", OptionalLong.empty());
  }

  private static String key(ListedEntry entry) {
    return switch (entry) {
      case Endpoint endpoint -> endpoint.id().value();
      case UnusableEntry unusableEntry -> unusableEntry.key();
    };
  }

  /**
   * Applies an agent's report of the incarnation of its endpoint.
   *
   * @param incarnation the reported incarnation
   * @return the changes; none for an endpoint that is not listed yet
   */
  public Change agentReported(EndpointIncarnation incarnation) {
    ChangeBuilder changes = new ChangeBuilder();
    IncarnationTracker tracker = tracker(incarnation.id());
    EndpointIncarnation before = new EndpointIncarnation(incarnation.id(), tracker.current());
    tracker.agentReported(incarnation.startMillis());
    addEnded(before, tracker, changes);
    Endpoint old = known.get(incarnation.id());
    if (old != null) {
      replace(old, withStart(old, tracker.current()), changes);
    }
    return new Change(changes.changed, List.of(), changes.ended, List.of());
  }

  /**
   * Applies an agent's report of the incarnation of its engine, which may have an id that is not
   * listed yet.
   *
   * @param incarnation the reported incarnation
   * @param address of the engine, in the form of {@link Endpoint#address}
   * @param now milliseconds
   * @return the changes
   */
  public Change agentReported(EndpointIncarnation incarnation, String address, long now) {
    Optional<Endpoint> former =
        known.containsKey(incarnation.id())
            ? Optional.empty()
            : replacements.predecessor(incarnation.id(), address).filter(this::isConfigured);
    return former
        .map(one -> replaceFormer(one, incarnation, now))
        .orElseGet(() -> resolveAddress(incarnation, address, now));
  }

  /**
   * Resolves two list entries at one address: the agent there reports which endpoint is running. A
   * process that has just started cannot know it otherwise, because the entry of the previous
   * endpoint stays for seconds and still lists all adapters that it had in memory.
   */
  private Change resolveAddress(EndpointIncarnation incarnation, String address, long now) {
    Change change = agentReported(incarnation);
    boolean listed =
        known.containsKey(incarnation.id()) || replacements.isDisplaced(incarnation.id());
    if (!listed || replacements.isReportedAt(incarnation.id(), address)) {
      return change;
    }
    List<Endpoint> others =
        known.values().stream()
            .filter(one -> one.address().equals(address) && !one.id().equals(incarnation.id()))
            .toList();
    if (!replacements.agentReported(incarnation.id(), address, others, now)) {
      return change;
    }
    others.forEach(one -> known.remove(one.id()));
    List<Endpoint> changed = new ArrayList<>(change.changed());
    changed.addAll(applyLastList(List.of()).changed());
    endpoint(incarnation.id()).ifPresent(replacements::recordEndpoint);
    List<EndpointIncarnation> ended = new ArrayList<>(change.ended());
    others.forEach(one -> ended.add(one.incarnation()));
    return new Change(changed, others, ended, change.unusable());
  }

  private Change replaceFormer(Endpoint former, EndpointIncarnation incarnation, long now) {
    replacements.announce(incarnation.id(), former.id(), now);
    tracker(incarnation.id()).agentReported(incarnation.startMillis());
    ChangeBuilder changes = new ChangeBuilder();
    changes.ended.add(former.incarnation());
    replace(null, former.succeededBy(incarnation), changes);
    boolean listed = known.remove(former.id()) != null;
    return new Change(
        changes.changed, listed ? List.of(former) : List.of(), changes.ended, List.of());
  }

  private boolean isConfigured(Endpoint endpoint) {
    return services.isPresent() && services.get().contains(endpoint.service());
  }

  /**
   * Handles the loss of an endpoint's agent, or its report that no incarnation is running. From
   * then on only the list determines the endpoint's state.
   *
   * @param id the endpoint
   */
  public void agentLost(EndpointId id) {
    tracker(id).agentLost();
    replacements.agentLost(id);
  }

  private void update(Endpoint entry, ChangeBuilder changes) {
    IncarnationTracker tracker = tracker(entry.id());
    EndpointIncarnation before = new EndpointIncarnation(entry.id(), tracker.current());
    tracker.listed(entry.incarnation().startMillis());
    addEnded(before, tracker, changes);
    Endpoint old = known.get(entry.id());
    boolean current =
        EndpointIncarnation.maybeSameStart(entry.incarnation().startMillis(), tracker.current());
    if (current) {
      replace(old, entry.withStart(tracker.current()), changes);
    } else if (old == null && tracker.agentConnected()) {
      // The list lags behind the agent; service and address of the endpoint are the same.
      replace(null, entry.restartedAt(tracker.current()), changes);
    }
  }

  private static Endpoint withStart(Endpoint old, long start) {
    return EndpointIncarnation.maybeSameStart(old.incarnation().startMillis(), start)
        ? old.withStart(start)
        : old.restartedAt(start);
  }

  private void replace(Endpoint old, Endpoint endpoint, ChangeBuilder changes) {
    boolean sameIncarnation = old != null && old.incarnation().maybeSameAs(endpoint.incarnation());
    if (endpoint.equals(old) || (sameIncarnation && old.leaving() && !endpoint.leaving())) {
      return;
    }
    known.put(endpoint.id(), endpoint);
    replacements.recordEndpoint(endpoint);
    changes.changed.add(endpoint);
  }

  /**
   * Adds the previous incarnation to the ended ones, also if the endpoint has not been listed for a
   * while: requests may still be pending there.
   */
  private static void addEnded(
      EndpointIncarnation before, IncarnationTracker tracker, ChangeBuilder changes) {
    if (!EndpointIncarnation.maybeSameStart(before.startMillis(), tracker.current())) {
      changes.ended.add(before);
    }
  }

  private IncarnationTracker tracker(EndpointId id) {
    return trackers.computeIfAbsent(id, unused -> new IncarnationTracker());
  }

  /**
   * Returns the age of the last list.
   *
   * @param now milliseconds
   * @return milliseconds since it was requested; a very large number before the first list
   */
  public long ageMillis(long now) {
    return now - lastRequestMillis;
  }

  /**
   * Finds an endpoint.
   *
   * @param id its id
   * @return empty when it is unknown or has been removed
   */
  public Optional<Endpoint> endpoint(EndpointId id) {
    return Optional.ofNullable(known.get(id));
  }

  /**
   * Returns every endpoint.
   *
   * @return the endpoints in service and those that are leaving
   */
  public List<Endpoint> endpoints() {
    return List.copyOf(known.values());
  }

  /**
   * Counts the endpoints that are kept although they are missing from the last list.
   *
   * @return the number of missing endpoints
   */
  public int missingEndpoints() {
    return missing.size();
  }

  /**
   * Counts the unusable entries of the last list.
   *
   * @return the number of unusable entries
   */
  public int unusableEntries() {
    return unusable.size();
  }

  /**
   * The changes by a list, a configuration or an agent's report.
   *
   * @param changed new and changed endpoints, and later incarnations of known ones
   * @param removed removed endpoints
   * @param ended incarnations that have been replaced by another one
   * @param unusable entries that have become unusable, or are unusable for another reason than
   *     before
   * @param missing endpoints that are missing from a list and are kept
   */
  public record Change(
      List<Endpoint> changed,
      List<Endpoint> removed,
      List<EndpointIncarnation> ended,
      List<UnusableEntry> unusable,
      MissingEndpoints missing) {

    Change(
        List<Endpoint> changed,
        List<Endpoint> gone,
        List<EndpointIncarnation> ended,
        List<UnusableEntry> unusable) {
      this(changed, gone, ended, unusable, MissingEndpoints.NONE);
    }

    /** Copies the lists. */
    public Change {
      changed = List.copyOf(changed);
      removed = List.copyOf(removed);
      ended = List.copyOf(ended);
      unusable = List.copyOf(unusable);
    }

    private Change with(MissingEndpoints missing) {
      return new Change(changed, removed, ended, unusable, missing);
    }
  }

  /**
   * Endpoints that are missing from a list and are kept.
   *
   * @param endpoints the ids of those that the previous list contained
   * @param gapMillis time from the arrival of the previous list until this one was requested
   * @param keptMillis for how long the endpoints are kept from now; 0 when none is kept
   */
  public record MissingEndpoints(List<EndpointId> endpoints, long gapMillis, long keptMillis) {

    static final MissingEndpoints NONE = new MissingEndpoints(List.of(), 0, 0);

    /** Copies the list. */
    public MissingEndpoints {
      endpoints = List.copyOf(endpoints);
    }
  }

  /** Collects the parts of a {@link Change}. */
  private static final class ChangeBuilder {

    private final List<Endpoint> changed = new ArrayList<>();
    private final List<EndpointIncarnation> ended = new ArrayList<>();
    private final List<UnusableEntry> unusable = new ArrayList<>();
  }
}
