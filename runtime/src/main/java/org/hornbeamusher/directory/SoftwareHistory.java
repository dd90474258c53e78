package org.hornbeamusher.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;

/**
 * The software versions of the endpoints that the list has contained, including those that are
 * gone. Endpoints of several versions may serve side by side. Not thread-safe.
 *
 * <p>A stream may continue only at the version that began it. While every endpoint that served in
 * the duration of a stream had the same version, that version is known without any record of the
 * stream.
 */
public final class SoftwareHistory {

  /** Longer than any stream lasts. */
  public static final long RETENTION_MILLIS = 60_000;

  /** An endpoint stays listed for longer, even if it leaves at once. */
  private static final long MAX_LIST_GAP_MILLIS = 2_000;

  private static final int MAX_ENDPOINTS = 4_096;

  /** The last known version of each endpoint; the oldest are evicted first. */
  private final Map<EndpointId, Known> versions =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Known> eldest) {
          return size() > MAX_ENDPOINTS;
        }
      };

  /** For each service, the versions of endpoints that are gone and when the last of them went. */
  private final Map<String, Map<SoftwareVersion, Long>> gone = new HashMap<>();

  /** When the first of the lists was requested that have no gap between them; empty before it. */
  private OptionalLong firstListMillis = OptionalLong.empty();

  private long lastListMillis;

  /**
   * Records that a list was received.
   *
   * @param askedMillis when it was requested: what came later may be missing
   */
  public void listReceived(long askedMillis) {
    if (!isCurrent(askedMillis)) {
      firstListMillis = OptionalLong.of(askedMillis);
    }
    lastListMillis = askedMillis;
  }

  /**
   * Returns whether a list was received that was requested at a time or later.
   *
   * @param millis the time
   * @return whether what was listed at that time is known
   */
  public boolean isListedSince(long millis) {
    return firstListMillis.isPresent() && lastListMillis >= millis;
  }

  /** Returns whether no endpoint can have come and gone since the last list. */
  private boolean isCurrent(long now) {
    return firstListMillis.isPresent() && now - lastListMillis <= MAX_LIST_GAP_MILLIS;
  }

  /**
   * Records an endpoint that is new or has changed. A later incarnation under the same id may have
   * another version, which is not known before the list contains it.
   *
   * @param endpoint the endpoint
   * @param now milliseconds
   */
  public void changed(Endpoint endpoint, long now) {
    Known before = versions.get(endpoint.id());
    if (before != null && !before.appliesTo(endpoint)) {
      gone(endpoint.service(), before.version(), now);
    }
    endpoint
        .software()
        .ifPresent(
            version -> versions.put(endpoint.id(), new Known(endpoint.incarnation(), version)));
  }

  /**
   * Records that an endpoint is gone.
   *
   * @param endpoint the endpoint
   * @param now milliseconds
   */
  public void removed(Endpoint endpoint, long now) {
    versionOf(endpoint.incarnation()).ifPresent(version -> gone(endpoint.service(), version, now));
  }

  private void gone(String service, SoftwareVersion version, long now) {
    gone.computeIfAbsent(service, unused -> new HashMap<>()).put(version, now);
  }

  /**
   * Finds the version of an incarnation of an endpoint, which may be gone.
   *
   * @param incarnation the incarnation
   * @return empty if the list has not contained it, or not as the last one under its id
   */
  public Optional<SoftwareVersion> versionOf(EndpointIncarnation incarnation) {
    return Optional.ofNullable(versions.get(incarnation.id()))
        .filter(known -> known.incarnation().equals(incarnation))
        .map(Known::version);
  }

  /**
   * Returns the versions of a service that are known to have served.
   *
   * @param service the service
   * @param current all current endpoints
   * @param ageMillis how long ago an endpoint may have gone
   * @param now milliseconds
   * @return the versions in alphabetical order
   */
  public Set<String> versions(
      String service, Collection<Endpoint> current, long ageMillis, long now) {
    Set<String> found = new TreeSet<>();
    gone.getOrDefault(service, Map.of())
        .forEach(
            (version, at) -> {
              if (now - at < ageMillis) {
                found.add(version.value());
              }
            });
    current.stream()
        .filter(endpoint -> endpoint.service().equals(service))
        .forEach(endpoint -> endpoint.software().ifPresent(one -> found.add(one.value())));
    return found;
  }

  /**
   * Returns whether this history reaches back far enough without a gap.
   *
   * @param ageMillis how far
   * @param now milliseconds
   * @return whether {@link #versions} contains every version that the list has shown in this time
   */
  public boolean covers(long ageMillis, long now) {
    return isCurrent(now) && now - firstListMillis.getAsLong() >= ageMillis;
  }

  /**
   * Returns whether the version of every current endpoint of a service is known. That of an
   * incarnation that its agent has reported is not, until the list contains it.
   *
   * @param service the service
   * @param current all current endpoints
   * @return whether none is unknown
   */
  public boolean allKnown(String service, Collection<Endpoint> current) {
    return current.stream()
        .filter(endpoint -> endpoint.service().equals(service))
        .noneMatch(endpoint -> endpoint.software().isEmpty());
  }

  /** The version of an incarnation. */
  private record Known(EndpointIncarnation incarnation, SoftwareVersion version) {

    boolean appliesTo(Endpoint endpoint) {
      return incarnation.equals(endpoint.incarnation())
          && endpoint.software().filter(other -> !other.equals(version)).isEmpty();
    }
  }
}
