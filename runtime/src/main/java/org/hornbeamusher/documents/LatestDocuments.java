package org.hornbeamusher.documents;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamusher.ids.ServiceName;

/**
 * The current documents of one process: the highest version seen of each service.
 *
 * <p>The version of a service never decreases, whatever the order in which documents arrive. A
 * deletion is a version like any other (a tombstone), so that a late copy of the deleted document
 * cannot restore the service. Thread-safe.
 */
public final class LatestDocuments {

  /** Deltas kept of each service: half a minute at the maximum rate of one change a second. */
  private static final int MAXIMUM_RECENT_DELTAS = 32;

  /** Invariant: the version of a service never decreases. */
  private final Map<ServiceName, ServiceDocument> documents = new ConcurrentHashMap<>();

  /**
   * Invariant: each delta is based on the version that the previous one results in; the last one
   * results in the version in {@link #documents}.
   */
  private final Map<ServiceName, List<DocumentDelta>> recentDeltas = new ConcurrentHashMap<>();

  /** Result of offering a document. */
  public sealed interface OfferResult {

    /**
     * The document was newer and is now the current one.
     *
     * @param previous the version that it replaced
     */
    record Newer(Optional<ServiceDocument> previous) implements OfferResult {}

    /** This version is already present. */
    record Same() implements OfferResult {}

    /**
     * A newer version is present; nothing changed.
     *
     * @param held the version that is present
     */
    record Older(long held) implements OfferResult {}
  }

  /**
   * Stores a document if it is newer than the present version.
   *
   * @param document an accepted document or a tombstone
   * @return whether it was newer
   */
  public OfferResult offer(ServiceDocument document) {
    return offer(document, Optional.empty());
  }

  /** Stores a newer document; computes the delta to the previous version if it is not given. */
  private OfferResult offer(ServiceDocument document, Optional<DocumentDelta> knownDelta) {
    OfferResult[] result = new OfferResult[1];
    documents.compute(
        document.service(),
        (service, held) -> {
          result[0] = compare(held, document);
          if (!(result[0] instanceof OfferResult.Newer)) {
            return held;
          }
          if (held != null) {
            DocumentDelta delta =
                knownDelta
                    .filter(given -> given.baseVersion() == held.version())
                    .orElseGet(() -> DocumentDelta.between(held, document));
            addRecentDelta(delta);
          }
          return document;
        });
    return result[0];
  }

  /**
   * Applies an update from a peer. Deltas that are not based on the present version change nothing.
   *
   * @param update the update
   * @return the version that became current, or empty when none did
   */
  public Optional<ServiceDocument> apply(DocumentUpdate update) {
    return switch (update) {
      case DocumentUpdate.NoUpdate nothing -> Optional.empty();
      case DocumentUpdate.FullDocument whole -> offerIfNewer(whole.document(), Optional.empty());
      case DocumentUpdate.Deltas deltas -> applyAll(deltas.deltas());
    };
  }

  /**
   * Returns the update for a peer that requests a newer version.
   *
   * @param service the service
   * @param haveVersion the version that the peer has; 0 for none
   * @return deltas if they are still kept, else the full document
   */
  public DocumentUpdate updateSince(ServiceName service, long haveVersion) {
    ServiceDocument held = documents.get(service);
    if (held == null || held.version() <= haveVersion) {
      return new DocumentUpdate.NoUpdate();
    }
    List<DocumentDelta> deltas =
        recentDeltas.getOrDefault(service, List.of()).stream()
            .dropWhile(delta -> delta.baseVersion() != haveVersion)
            .toList();
    return deltas.isEmpty()
        ? new DocumentUpdate.FullDocument(held)
        : new DocumentUpdate.Deltas(deltas);
  }

  /**
   * Returns the current document.
   *
   * @param service the service
   * @return empty when the service is unknown or deleted
   */
  public Optional<ServiceDocument> current(ServiceName service) {
    return latest(service).filter(document -> !document.deleted());
  }

  /**
   * Returns the highest version seen, which may be a tombstone.
   *
   * @param service the service
   * @return empty when the service was never seen
   */
  public Optional<ServiceDocument> latest(ServiceName service) {
    return Optional.ofNullable(documents.get(service));
  }

  /**
   * Returns all current documents.
   *
   * @return the documents without tombstones, in no particular order
   */
  public Collection<ServiceDocument> all() {
    return documents.values().stream().filter(document -> !document.deleted()).toList();
  }

  /**
   * Returns the version of each service, tombstones included.
   *
   * @return versions by service, ordered by name
   */
  public Map<ServiceName, Long> digest() {
    Map<ServiceName, Long> versions = new TreeMap<>();
    documents.forEach((service, document) -> versions.put(service, document.version()));
    return versions;
  }

  /**
   * Returns a hash of the digest, short enough to send with every heartbeat.
   *
   * <p>Equal digests have equal hashes. Two different digests collide with a probability of 2^-64;
   * the next change on either side ends the collision, and the table is polled anyway.
   *
   * @return the hash; 0 when there are no documents
   */
  public long digestHash() {
    long hash = 0;
    for (ServiceDocument document : documents.values()) {
      hash += mixHash(document.service().value(), document.version());
    }
    return hash;
  }

  /**
   * Finds the services of which a peer has a newer version.
   *
   * @param digest the peer's digest
   * @return the services to pull from the peer
   */
  public Set<ServiceName> newerThanHeld(Map<ServiceName, Long> digest) {
    Set<ServiceName> missing = new TreeSet<>();
    digest.forEach(
        (service, version) -> {
          if (latest(service).map(ServiceDocument::version).orElse(0L) < version) {
            missing.add(service);
          }
        });
    return missing;
  }

  private static OfferResult compare(ServiceDocument held, ServiceDocument document) {
    if (held == null || document.version() > held.version()) {
      return new OfferResult.Newer(Optional.ofNullable(held));
    }
    return document.version() == held.version()
        ? new OfferResult.Same()
        : new OfferResult.Older(held.version());
  }

  private void addRecentDelta(DocumentDelta delta) {
    ServiceName service = delta.head().service();
    List<DocumentDelta> deltas = new ArrayList<>(recentDeltas.getOrDefault(service, List.of()));
    deltas.add(delta);
    int excess = Math.max(0, deltas.size() - MAXIMUM_RECENT_DELTAS);
    recentDeltas.put(service, List.copyOf(deltas.subList(excess, deltas.size())));
  }

  private Optional<ServiceDocument> offerIfNewer(
      ServiceDocument document, Optional<DocumentDelta> knownDelta) {
    return offer(document, knownDelta) instanceof OfferResult.Newer
        ? Optional.of(document)
        : Optional.empty();
  }

  private Optional<ServiceDocument> applyAll(List<DocumentDelta> deltas) {
    Optional<ServiceDocument> last = Optional.empty();
    for (DocumentDelta delta : deltas) {
      Optional<ServiceDocument> newer = latest(delta.head().service()).flatMap(delta::applyTo);
      last = newer.flatMap(document -> offerIfNewer(document, Optional.of(delta)));
    }
    return last;
  }

  private static long mixHash(String name, long version) {
    long value = version * 0x9E3779B97F4A7C15L;
    for (int i = 0; i < name.length(); i++) {
      value = (value ^ name.charAt(i)) * 0xBF58476D1CE4E5B9L;
    }
    value = (value ^ (value >>> 31)) * 0x94D049BB133111EBL;
    return value ^ (value >>> 29);
  }
}
