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
 * The documents that are in force in one process: the highest version seen of each service.
 *
 * <p>A version never goes back, whatever order offers arrive in. A deletion is a version like any
 * other (a tombstone), so that a late copy of the deleted document cannot bring the service back.
 * May be used by several threads at once.
 */
public final class LatestDocuments {

  /**
   * Differences kept of each service: at one change a second, half a minute of a partner's storm.
   */
  private static final int RECENT_LIMIT = 32;

  /** Invariant: a service's version only rises. */
  private final Map<ServiceName, ServiceDocument> documents = new ConcurrentHashMap<>();

  /**
   * Invariant: each difference is based on the version of the one before; the last one leads to the
   * version held.
   */
  private final Map<ServiceName, List<DocumentDelta>> recent = new ConcurrentHashMap<>();

  /** What an offer led to. */
  public sealed interface Offered {

    /**
     * The document was newer and is now in force.
     *
     * @param previous what it replaced
     */
    record Newer(Optional<ServiceDocument> previous) implements Offered {}

    /** This version is already held. */
    record Same() implements Offered {}

    /**
     * A newer version is held; nothing changed.
     *
     * @param held the version held
     */
    record Older(long held) implements Offered {}
  }

  /**
   * Takes in a document if it is newer than what is held.
   *
   * @param document an accepted document, perhaps a tombstone
   * @return what became of it
   */
  public Offered offer(ServiceDocument document) {
    return offer(document, Optional.empty());
  }

  /** Takes in a document; the difference to the version held is taken if it is not given. */
  private Offered offer(ServiceDocument document, Optional<DocumentDelta> difference) {
    Offered[] offered = new Offered[1];
    documents.compute(
        document.service(),
        (service, held) -> {
          offered[0] = compare(held, document);
          if (!(offered[0] instanceof Offered.Newer)) {
            return held;
          }
          if (held != null) {
            DocumentDelta delta =
                difference
                    .filter(given -> given.baseVersion() == held.version())
                    .orElseGet(() -> DocumentDelta.between(held, document));
            remember(delta);
          }
          return document;
        });
    return offered[0];
  }

  /**
   * Takes in what a peer sent. Differences that do not fit the version held change nothing.
   *
   * @param update what the peer sent
   * @return the version that came into force, or empty when none did
   */
  public Optional<ServiceDocument> apply(DocumentUpdate update) {
    return switch (update) {
      case DocumentUpdate.NoUpdate nothing -> Optional.empty();
      case DocumentUpdate.FullDocument whole -> inForce(whole.document(), Optional.empty());
      case DocumentUpdate.Deltas differences -> applyAll(differences.deltas());
    };
  }

  /**
   * Answers a peer that asks for a newer version.
   *
   * @param service the service
   * @param haveVersion the version the peer holds; 0 for none
   * @return differences where they are still known, else the document whole
   */
  public DocumentUpdate updateSince(ServiceName service, long haveVersion) {
    ServiceDocument held = documents.get(service);
    if (held == null || held.version() <= haveVersion) {
      return new DocumentUpdate.NoUpdate();
    }
    List<DocumentDelta> deltas =
        recent.getOrDefault(service, List.of()).stream()
            .dropWhile(delta -> delta.baseVersion() != haveVersion)
            .toList();
    return deltas.isEmpty()
        ? new DocumentUpdate.FullDocument(held)
        : new DocumentUpdate.Deltas(deltas);
  }

  /**
   * Returns the document in force.
   *
   * @param service the service
   * @return empty when the service is unknown or deleted
   */
  public Optional<ServiceDocument> current(ServiceName service) {
    return latest(service).filter(document -> !document.deleted());
  }

  /**
   * Returns the highest version seen, a tombstone included.
   *
   * @param service the service
   * @return empty when the service was never seen
   */
  public Optional<ServiceDocument> latest(ServiceName service) {
    return Optional.ofNullable(documents.get(service));
  }

  /**
   * Returns every document in force.
   *
   * @return without tombstones, in no order
   */
  public Collection<ServiceDocument> all() {
    return documents.values().stream().filter(document -> !document.deleted()).toList();
  }

  /**
   * Returns the version held of each service, tombstones included.
   *
   * @return versions by service, in order of the names
   */
  public Map<ServiceName, Long> digest() {
    Map<ServiceName, Long> versions = new TreeMap<>();
    documents.forEach((service, document) -> versions.put(service, document.version()));
    return versions;
  }

  /**
   * Returns a hash of the digest, short enough for every heartbeat.
   *
   * <p>Equal digests have equal hashes. Two different digests collide once in 2^64; the next change
   * of either side ends the collision, and the table is polled all the same.
   *
   * @return the hash; 0 when nothing is held
   */
  public long digestHash() {
    long hash = 0;
    for (ServiceDocument document : documents.values()) {
      hash += mixed(document.service().value(), document.version());
    }
    return hash;
  }

  /**
   * Says what a peer holds that is newer.
   *
   * @param digest the peer's digest
   * @return the services to pull from it
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

  private static Offered compare(ServiceDocument held, ServiceDocument document) {
    if (held == null || document.version() > held.version()) {
      return new Offered.Newer(Optional.ofNullable(held));
    }
    return document.version() == held.version()
        ? new Offered.Same()
        : new Offered.Older(held.version());
  }

  private void remember(DocumentDelta delta) {
    ServiceName service = delta.head().service();
    List<DocumentDelta> deltas = new ArrayList<>(recent.getOrDefault(service, List.of()));
    deltas.add(delta);
    int surplus = Math.max(0, deltas.size() - RECENT_LIMIT);
    recent.put(service, List.copyOf(deltas.subList(surplus, deltas.size())));
  }

  private Optional<ServiceDocument> inForce(
      ServiceDocument document, Optional<DocumentDelta> difference) {
    return offer(document, difference) instanceof Offered.Newer
        ? Optional.of(document)
        : Optional.empty();
  }

  private Optional<ServiceDocument> applyAll(List<DocumentDelta> deltas) {
    Optional<ServiceDocument> last = Optional.empty();
    for (DocumentDelta delta : deltas) {
      Optional<ServiceDocument> newer = latest(delta.head().service()).flatMap(delta::applyTo);
      last = newer.flatMap(document -> inForce(document, Optional.of(delta)));
    }
    return last;
  }

  private static long mixed(String name, long version) {
    long value = version * 0x9E3779B97F4A7C15L;
    for (int i = 0; i < name.length(); i++) {
      value = (value ^ name.charAt(i)) * 0xBF58476D1CE4E5B9L;
    }
    value = (value ^ (value >>> 31)) * 0x94D049BB133111EBL;
    return value ^ (value >>> 29);
  }
}
