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
 * What one process knows about its peers, from two sources that disagree now and then.
 *
 * <p>The platform's list says where peers are. It lags: it shows instances that are gone, lacks new
 * ones, and may be unavailable for long. The peer's own word, on a connection to it, says which
 * process is there and whether it is leaving. The rules:
 *
 * <ul>
 *   <li>A peer takes work once it has introduced itself, whether or not the list still shows it. A
 *       list that is down or late takes no working peer away.
 *   <li>Leaving is believed from whoever says it first, the peer or the list, and is never taken
 *       back for that process. Without the list's word, a drain that the peer was not told of would
 *       cut requests; without the peer's, a drain would take as long as the list lags.
 *   <li>A word applies to the process that said it. Instances are replaced at the same address, so
 *       a process is told by its incarnation, which it draws when it starts, and the list's word by
 *       the platform's instance id. Neither the predecessor's leaving nor the loss of a connection
 *       to it harms the replacement.
 *   <li>Of two introductions at one address, the one on the connection opened later counts. The
 *       other may be a message that was under way for long.
 * </ul>
 *
 * <p>Not safe for use by several threads at once.
 */
public final class PeerTable {

  /** Every address that is listed or connected. */
  private final Map<String, Peer> peers = new TreeMap<>();

  /**
   * Takes in the platform's list.
   *
   * @param list the whole list as it was read
   * @return what follows from it
   */
  public List<PeerEvent> updateFromList(Collection<PeerListEntry> list) {
    Map<String, PeerListEntry> byAddress =
        list.stream()
            .collect(Collectors.toMap(PeerListEntry::address, line -> line, PeerTable::later));
    List<PeerEvent> events = new ArrayList<>();
    byAddress.values().forEach(line -> peer(line.address()).listed = Optional.of(line));
    peers.forEach(
        (address, peer) -> {
          if (!byAddress.containsKey(address)) {
            peer.listed = Optional.empty();
          }
          events.addAll(update(address, peer));
        });
    peers.values().removeIf(peer -> peer.listed.isEmpty() && peer.process == null);
    return events;
  }

  /**
   * Takes in the first message on a connection.
   *
   * @param address the peer
   * @param connection rises with every connection this process opens
   * @param instance the platform's id of the peer's instance, as the peer says
   * @param incarnation the process behind the connection
   * @return what follows from it; empty when a later connection has been introduced before
   */
  public List<PeerEvent> helloReceived(
      String address, long connection, String instance, ProcessIncarnation incarnation) {
    Peer peer = peer(address);
    if (peer.process != null && peer.process.connection > connection) {
      return List.of();
    }
    List<PeerEvent> events = new ArrayList<>();
    boolean another = peer.process != null && !peer.process.incarnation.equals(incarnation);
    if (another) {
      events.add(new PeerEvent.Lost(address, peer.process.incarnation));
      peer.processEnded();
    }
    boolean left = peer.departed.equals(Optional.of(incarnation));
    boolean leaving = left || (peer.process != null && peer.process.leaving);
    boolean announced = peer.process != null && peer.process.announced;
    peer.process = new Process(connection, instance, incarnation, leaving, announced);
    peer.connecting = false;
    events.addAll(update(address, peer));
    return events;
  }

  /**
   * Takes in a peer's word that it is leaving.
   *
   * @param address the peer
   * @param incarnation the process behind the connection on which it was said
   * @return what follows from it; empty when another process is there now
   */
  public List<PeerEvent> leavingReceived(String address, ProcessIncarnation incarnation) {
    Peer peer = peers.get(address);
    if (peer == null || !peer.isRunBy(incarnation)) {
      return List.of();
    }
    peer.process.leaving = true;
    return update(address, peer);
  }

  /**
   * Records that a connection was closed or abandoned.
   *
   * @param address the peer
   * @param connection the connection
   * @return what follows from it: the peer's attempts are settled and, if it is listed, a new
   *     connection is opened; empty when a later connection has taken its place
   */
  public List<PeerEvent> disconnected(String address, long connection) {
    Peer peer = peers.get(address);
    if (peer == null) {
      return List.of();
    }
    peer.connecting = false;
    if (peer.process == null) {
      return connect(address, peer);
    }
    if (peer.process.connection != connection) {
      return List.of();
    }
    List<PeerEvent> events = new ArrayList<>();
    events.add(new PeerEvent.Lost(address, peer.process.incarnation));
    peer.processEnded();
    events.addAll(connect(address, peer));
    return events;
  }

  /**
   * Returns who takes work.
   *
   * @return addresses of peers that introduced themselves and are not leaving
   */
  public Set<String> availablePeers() {
    return peers.entrySet().stream()
        .filter(entry -> entry.getValue().takesWork())
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private Peer peer(String address) {
    return peers.computeIfAbsent(address, unused -> new Peer());
  }

  private static List<PeerEvent> update(String address, Peer peer) {
    if (peer.process == null) {
      return connect(address, peer);
    }
    Process process = peer.process;
    if (peer.listSaysLeaving(process.instance)) {
      process.leaving = true;
    }
    List<PeerEvent> events = new ArrayList<>();
    if (process.leaving && !process.leavingAnnounced) {
      process.leavingAnnounced = true;
      events.add(new PeerEvent.Leaving(address, process.incarnation));
    }
    if (!process.leaving && !process.announced) {
      process.announced = true;
      events.add(new PeerEvent.Joined(address, process.incarnation));
    }
    return events;
  }

  /** Nobody connects to an instance that is known to be leaving. */
  private static List<PeerEvent> connect(String address, Peer peer) {
    boolean wanted =
        peer.listed
            .filter(line -> !line.leaving())
            .filter(line -> !peer.departedInstance.equals(Optional.of(line.instance())))
            .isPresent();
    if (!wanted || peer.connecting) {
      return List.of();
    }
    peer.connecting = true;
    return List.of(new PeerEvent.Connect(address));
  }

  /** A list that shows two instances at one address is in the middle of a replacement. */
  private static PeerListEntry later(PeerListEntry one, PeerListEntry other) {
    return one.leaving() ? other : one;
  }

  private static final class Peer {

    private Optional<PeerListEntry> listed = Optional.empty();

    /** The process that was leaving when it was last heard of; it may connect once more. */
    private Optional<ProcessIncarnation> departed = Optional.empty();

    /** Its instance; the list shows it for a while yet. */
    private Optional<String> departedInstance = Optional.empty();

    /** Null while there is no connection on which the peer introduced itself. */
    private Process process;

    private boolean connecting;

    private void processEnded() {
      boolean left = process.leaving;
      departed = left ? Optional.of(process.incarnation) : Optional.empty();
      departedInstance = left ? Optional.of(process.instance) : Optional.empty();
      process = null;
    }

    private boolean isRunBy(ProcessIncarnation incarnation) {
      return process != null && process.incarnation.equals(incarnation);
    }

    private boolean takesWork() {
      return process != null && !process.leaving;
    }

    private boolean listSaysLeaving(String instance) {
      return listed.filter(line -> line.leaving() && line.instance().equals(instance)).isPresent();
    }
  }

  private static final class Process {

    private final long connection;
    private final String instance;
    private final ProcessIncarnation incarnation;
    private boolean leaving;
    private boolean announced;
    private boolean leavingAnnounced;

    Process(
        long connection,
        String instance,
        ProcessIncarnation incarnation,
        boolean leaving,
        boolean announced) {
      this.connection = connection;
      this.instance = instance;
      this.incarnation = incarnation;
      this.leaving = leaving;
      this.announced = announced;
      this.leavingAnnounced = leaving;
    }
  }
}
