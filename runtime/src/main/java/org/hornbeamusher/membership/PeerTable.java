package org.hornbeamusher.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.hornbeamusher.ids.ProcessIncarnation;

/**
 * The state of one process's peers, merged from two sources that may contradict each other.
 *
 * <p>The platform's list contains the addresses of the peers. It may be out of date, so that it
 * contains instances that no longer exist and lacks new ones, or unavailable for a long time. The
 * peer's own messages, on a connection to it, identify the process and report whether it is
 * leaving. The sources are merged by these rules:
 *
 * <ul>
 *   <li>A peer accepts requests from its hello message on, whether or not the list still contains
 *       it. A list that is unavailable or out of date does not remove a working peer.
 *   <li>A process is leaving as soon as either the peer or the list says so, and it remains
 *       leaving. Without the list, a drain of which the peer was not notified would abort requests;
 *       without the peer's message, a drain would be delayed by the lag of the list.
 *   <li>A statement applies only to the process it was made about. Instances are replaced at the
 *       same address, so a process is identified by its incarnation, which it generates at its
 *       start, and an instance in the list by the platform's instance id. Neither the leaving of a
 *       predecessor nor the loss of the connection to it affects the replacement.
 *   <li>Of two hello messages from one address, the one on the connection opened later is used. The
 *       other one may have been delayed.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class PeerTable {

  /** Peers by address: all that are in the list or connected. */
  private final Map<String, Peer> peers = new TreeMap<>();

  /**
   * Applies the platform's list.
   *
   * @param list the complete list
   * @return the resulting events
   */
  public List<PeerEvent> updateFromList(Collection<PeerListEntry> list) {
    Map<String, PeerListEntry> byAddress =
        list.stream()
            .collect(
                Collectors.toMap(
                    PeerListEntry::address, entry -> entry, PeerTable::preferReplacement));
    List<PeerEvent> events = new ArrayList<>();
    byAddress.values().forEach(entry -> findOrAdd(entry.address()).listEntry = Optional.of(entry));
    peers.forEach(
        (address, peer) -> {
          if (!byAddress.containsKey(address)) {
            peer.listEntry = Optional.empty();
          }
          events.addAll(reconcile(address, peer));
        });
    peers.values().removeIf(peer -> peer.listEntry.isEmpty() && peer.process == null);
    return events;
  }

  /**
   * Applies the hello message of a connection.
   *
   * @param address the peer's address
   * @param connection number of the connection, increasing with every connection that this process
   *     opens
   * @param instance the platform's id of the peer's instance, as reported by the peer
   * @param incarnation the process at the other end of the connection
   * @return the resulting events; empty when the hello of a later connection was applied before
   */
  public List<PeerEvent> helloReceived(
      String address, long connection, String instance, ProcessIncarnation incarnation) {
    Peer peer = findOrAdd(address);
    if (peer.process != null && peer.process.connection > connection) {
      return List.of();
    }
    List<PeerEvent> events = new ArrayList<>();
    boolean replaced = peer.process != null && !peer.process.incarnation.equals(incarnation);
    if (replaced) {
      events.add(new PeerEvent.Lost(address, peer.process.incarnation));
      peer.processEnded();
    }
    boolean wasLeaving = peer.departed.equals(Optional.of(incarnation));
    boolean leaving = wasLeaving || (peer.process != null && peer.process.leaving);
    boolean joinReported = peer.process != null && peer.process.joinReported;
    peer.process = new PeerProcess(connection, instance, incarnation, leaving, joinReported);
    peer.connecting = false;
    events.addAll(reconcile(address, peer));
    return events;
  }

  /**
   * Applies a peer's message that it is leaving.
   *
   * @param address the peer's address
   * @param incarnation the process that sent the message
   * @return the resulting events; empty when another process has replaced it
   */
  public List<PeerEvent> leavingReceived(String address, ProcessIncarnation incarnation) {
    Peer peer = peers.get(address);
    if (peer == null || !peer.isProcess(incarnation)) {
      return List.of();
    }
    peer.process.leaving = true;
    return reconcile(address, peer);
  }

  /**
   * Records that a connection was closed or abandoned.
   *
   * @param address the peer's address
   * @param connection number of the connection
   * @return the resulting events: the process is lost and, if the peer is in the list and not
   *     leaving, a new connection must be opened; empty when a later connection has replaced this
   *     one
   */
  public List<PeerEvent> disconnected(String address, long connection) {
    Peer peer = peers.get(address);
    if (peer == null) {
      return List.of();
    }
    peer.connecting = false;
    if (peer.process == null) {
      return connectIfListed(address, peer);
    }
    if (peer.process.connection != connection) {
      return List.of();
    }
    List<PeerEvent> events = new ArrayList<>();
    events.add(new PeerEvent.Lost(address, peer.process.incarnation));
    peer.processEnded();
    events.addAll(connectIfListed(address, peer));
    return events;
  }

  /**
   * Returns the peers that accept new requests.
   *
   * @return addresses of the peers whose hello was received and that are not leaving
   */
  public Set<String> availablePeers() {
    return peers.entrySet().stream()
        .filter(entry -> entry.getValue().isAvailable())
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private Peer findOrAdd(String address) {
    return peers.computeIfAbsent(address, unused -> new Peer());
  }

  private static List<PeerEvent> reconcile(String address, Peer peer) {
    if (peer.process == null) {
      return connectIfListed(address, peer);
    }
    PeerProcess process = peer.process;
    if (peer.isListedAsLeaving(process.instance)) {
      process.leaving = true;
    }
    List<PeerEvent> events = new ArrayList<>();
    if (process.leaving && !process.leavingReported) {
      process.leavingReported = true;
      events.add(new PeerEvent.Leaving(address, process.incarnation));
    }
    if (!process.leaving && !process.joinReported) {
      process.joinReported = true;
      events.add(new PeerEvent.Joined(address, process.incarnation));
    }
    return events;
  }

  /** Requests a connection, unless the listed instance is leaving or has left. */
  private static List<PeerEvent> connectIfListed(String address, Peer peer) {
    boolean wanted =
        peer.listEntry
            .filter(entry -> !entry.leaving())
            .filter(entry -> !peer.departedInstance.equals(Optional.of(entry.instance())))
            .isPresent();
    if (!wanted || peer.connecting) {
      return List.of();
    }
    peer.connecting = true;
    return List.of(new PeerEvent.Connect(address));
  }

  /** Prefers the replacement when the list contains two instances at one address. */
  private static PeerListEntry preferReplacement(PeerListEntry one, PeerListEntry other) {
    return one.leaving() ? other : one;
  }

  private static final class Peer {

    private Optional<PeerListEntry> listEntry = Optional.empty();

    /** The last process, if it was leaving when its connection was lost; it may reconnect. */
    private Optional<ProcessIncarnation> departed = Optional.empty();

    /** Instance of the departed process; the list may still contain it for some time. */
    private Optional<String> departedInstance = Optional.empty();

    /** The connected process; null while there is no connection with a received hello. */
    private PeerProcess process;

    private boolean connecting;

    private void processEnded() {
      boolean wasLeaving = process.leaving;
      departed = wasLeaving ? Optional.of(process.incarnation) : Optional.empty();
      departedInstance = wasLeaving ? Optional.of(process.instance) : Optional.empty();
      process = null;
    }

    private boolean isProcess(ProcessIncarnation incarnation) {
      return process != null && process.incarnation.equals(incarnation);
    }

    private boolean isAvailable() {
      return process != null && !process.leaving;
    }

    private boolean isListedAsLeaving(String instance) {
      return listEntry
          .filter(entry -> entry.leaving() && entry.instance().equals(instance))
          .isPresent();
    }
  }

  private static final class PeerProcess {

    private final long connection;
    private final String instance;
    private final ProcessIncarnation incarnation;
    private boolean leaving;
    private boolean joinReported;
    private boolean leavingReported;

    PeerProcess(
        long connection,
        String instance,
        ProcessIncarnation incarnation,
        boolean leaving,
        boolean joinReported) {
      this.connection = connection;
      this.instance = instance;
      this.incarnation = incarnation;
      this.leaving = leaving;
      this.joinReported = joinReported;
      this.leavingReported = leaving;
    }
  }
}
