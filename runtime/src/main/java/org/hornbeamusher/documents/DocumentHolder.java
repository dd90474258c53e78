package org.hornbeamusher.documents;

import java.util.Collection;
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
public final class DocumentHolder {

  /** Invariant: a service's version only rises. */
  private final Map<ServiceName, ServiceDocument> documents = new ConcurrentHashMap<>();

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
    ServiceDocument[] before = new ServiceDocument[1];
    documents.compute(
        document.service(),
        (service, held) -> {
          before[0] = held;
          return held == null || document.version() > held.version() ? document : held;
        });
    ServiceDocument held = before[0];
    if (held == null || document.version() > held.version()) {
      return new Offered.Newer(Optional.ofNullable(held));
    }
    return document.version() == held.version()
        ? new Offered.Same()
        : new Offered.Older(held.version());
  }

  /**
   * Returns the document in force.
   *
   * @param service the service
   * @return empty when the service is unknown or deleted
   */
  public Optional<ServiceDocument> current(ServiceName service) {
    return held(service).filter(document -> !document.deleted());
  }

  /**
   * Returns the highest version seen, a tombstone included.
   *
   * @param service the service
   * @return empty when the service was never seen
   */
  public Optional<ServiceDocument> held(ServiceName service) {
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
  public Set<ServiceName> missing(Map<ServiceName, Long> digest) {
    Set<ServiceName> missing = new TreeSet<>();
    digest.forEach(
        (service, version) -> {
          if (held(service).map(ServiceDocument::version).orElse(0L) < version) {
            missing.add(service);
          }
        });
    return missing;
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
