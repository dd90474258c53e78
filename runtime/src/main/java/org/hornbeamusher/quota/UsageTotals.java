package org.hornbeamusher.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Usage by key at one entry and at all others, as exchanged through relays. Only sums that never
 * start anew are kept, and increments of them are sent.
 *
 * <p>All relays forward the same usage. Each sends increments on one connection, relative to what
 * was known when the connection opened; the largest of the sums counts, so that a relay that is
 * lost or paused does not hide usage that another one knows.
 *
 * @param <R> identifies a relay
 * @param <K> identifies what uses
 */
public final class UsageTotals<R, K> {

  /** Units used at this entry since its start, minus refunds. */
  private final Map<K, Long> local = new HashMap<>();

  /** Units used at other entries, as far as taken by {@link #takeRemoteChange}. */
  private final Map<K, Long> remote = new HashMap<>();

  private final Map<R, Relay<K>> relays = new HashMap<>();

  /**
   * Adds usage of this entry.
   *
   * @param key what uses
   * @param units units used; negative for a refund
   */
  public void add(K key, long units) {
    local.merge(key, units, Long::sum);
  }

  /**
   * Removes all sums of a key together, so that their differences stay correct if it returns.
   *
   * @param key what no longer counts
   */
  public void remove(K key) {
    local.remove(key);
    remote.remove(key);
    relays.values().forEach(relay -> relay.remove(key));
  }

  /**
   * Records that a connection to a relay was opened; usage is reported to it from now on.
   *
   * @param relay the relay
   */
  public void relayConnected(R relay) {
    relays.put(relay, new Relay<>(new HashMap<>(local), new HashMap<>(remote)));
  }

  /**
   * Records that the connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void relayDisconnected(R relay) {
    relays.remove(relay);
  }

  /**
   * Returns whether a relay is connected.
   *
   * @param relay the relay
   * @return whether reports of it count
   */
  public boolean connected(R relay) {
    return relays.containsKey(relay);
  }

  /**
   * Returns the usage not yet reported to a relay and marks it as reported.
   *
   * @param relay a connected relay
   * @return units by key; empty if there is nothing new
   */
  public Map<K, Long> takeIncrements(R relay) {
    Relay<K> to = relays.get(relay);
    Map<K, Long> increments = new HashMap<>();
    local.forEach(
        (key, total) -> {
          long unreported = total - to.reported.getOrDefault(key, 0L);
          if (unreported != 0) {
            increments.put(key, unreported);
            to.reported.put(key, total);
          }
        });
    return increments;
  }

  /**
   * Adds a report of a relay.
   *
   * @param relay a connected relay
   * @param increments units that other entries used since its last report
   */
  public void receive(R relay, Map<K, Long> increments) {
    Relay<K> from = relays.get(relay);
    increments.forEach((key, units) -> from.received.merge(key, units, Long::sum));
  }

  /**
   * Returns by how much the known usage of other entries has changed, and marks it as taken.
   *
   * @param key what uses
   * @return units since the last call for this key
   */
  public long takeRemoteChange(K key) {
    long known = remote.getOrDefault(key, 0L);
    long max = relays.values().stream().mapToLong(one -> one.total(key)).max().orElse(known);
    remote.put(key, max);
    return max - known;
  }

  /** The usage sent to and received from one relay since its connection opened. */
  private static final class Relay<K> {

    private final Map<K, Long> reported;

    /** The known usage of other entries when the connection opened. */
    private final Map<K, Long> baseline;

    private final Map<K, Long> received = new HashMap<>();

    Relay(Map<K, Long> reported, Map<K, Long> baseline) {
      this.reported = reported;
      this.baseline = baseline;
    }

    void remove(K key) {
      reported.remove(key);
      baseline.remove(key);
      received.remove(key);
    }

    long total(K key) {
      return baseline.getOrDefault(key, 0L) + received.getOrDefault(key, 0L);
    }
  }
}
