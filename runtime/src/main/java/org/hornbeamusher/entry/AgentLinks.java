package org.hornbeamusher.entry;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.dispatch.AgentLink;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.exchange.DocumentExchange;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InvalidIdentifierException;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.platform.Instance;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireConnector;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireSettings;
import org.hornbeamusher.wire.WireSockets;

/**
 * The entry's connections to agents.
 *
 * <p>An endpoint belongs to its newest connection. A replaced instance may come up at the address
 * of its predecessor while the predecessor's connection has not yet been found dead; what the old
 * connection still says, or its end, must not touch the new one's state.
 */
final class AgentLinks implements WireListener {

  private final Message.Hello own;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
  private final EntryDecisions decisions;
  private final DocumentExchange exchange;
  private final BiConsumer<WireConnection, Message> others;
  private final Map<InetSocketAddress, WireConnector> connectors = new ConcurrentHashMap<>();
  private final Map<WireConnection, Peer> peers = new ConcurrentHashMap<>();

  /** The newest connection of each endpoint. */
  private final Map<EndpointId, Peer> current = new ConcurrentHashMap<>();

  private static final class Peer {
    final AgentLink link;
    final AvailabilityZone zone;
    final PoolName pool;

    /** Whether routing knows the endpoint; guarded by this object. */
    boolean joined;

    /** Set once the agent said that it leaves, and never unset; guarded by this object. */
    boolean leaving;

    Peer(AgentLink link, AvailabilityZone zone, PoolName pool) {
      this.link = link;
      this.zone = zone;
      this.pool = pool;
    }
  }

  AgentLinks(
      Message.Hello own,
      WireSettings settings,
      WireSockets sockets,
      Clock clock,
      EntryDecisions decisions,
      DocumentExchange exchange,
      BiConsumer<WireConnection, Message> others) {
    this.own = own;
    this.settings = settings;
    this.sockets = sockets;
    this.clock = clock;
    this.decisions = decisions;
    this.exchange = exchange;
    this.others = others;
  }

  /**
   * Connects to agents that are new in the list and opens no further connection to those that are
   * gone from it. The list is late both ways: it never brings an agent back that said it leaves,
   * but an agent that it shows as leaving gets no new work either.
   */
  synchronized void follow(List<Instance> agents) {
    Set<InetSocketAddress> wanted = new HashSet<>();
    for (Instance agent : agents) {
      InetSocketAddress address = new InetSocketAddress(agent.host(), agent.port());
      wanted.add(address);
      connectors.computeIfAbsent(address, this::connect);
      if (agent.leaving()) {
        listedAsLeaving(agent.id());
      }
    }
    for (InetSocketAddress known : Set.copyOf(connectors.keySet())) {
      if (!wanted.contains(known)) {
        connectors.remove(known).stopWhenClosed();
      }
    }
  }

  private void listedAsLeaving(String instance) {
    peers.forEach(
        (connection, peer) -> {
          if (connection.peer().instance().equals(instance)) {
            leaving(peer);
          }
        });
  }

  synchronized void stop() {
    connectors.values().forEach(WireConnector::stop);
    connectors.clear();
  }

  Optional<AgentLink> link(EndpointId endpoint) {
    return Optional.ofNullable(current.get(endpoint)).map(peer -> peer.link);
  }

  /** Sends a message to every agent. */
  void broadcast(Message message) {
    peers.keySet().forEach(connection -> connection.send(message));
  }

  private WireConnector connect(InetSocketAddress address) {
    WireConnector connector = new WireConnector(address, own, this, settings, sockets, clock);
    connector.start();
    return connector;
  }

  @Override
  public void opened(WireConnection connection, Message.Hello hello) {
    try {
      Peer peer =
          new Peer(
              new AgentLink(new EndpointId(hello.endpoint()), connection),
              new AvailabilityZone(hello.zone()),
              new PoolName(hello.pool()));
      peers.put(connection, peer);
      current.put(peer.link.endpoint(), peer);
      exchange.opened(connection);
      EventLog.log(EventType.PEER_CONNECTED, "peer", hello.instance());
    } catch (InvalidIdentifierException e) {
      connection.stop();
    }
  }

  @Override
  public void received(WireConnection connection, Message message) {
    Peer peer = peers.get(connection);
    if (peer == null) {
      return;
    }
    switch (message) {
      case Message.Started m -> peer.link.heard(m.attempt(), m);
      case Message.Head m -> peer.link.heard(m.attempt(), m);
      case Message.Chunk m -> peer.link.heard(m.attempt(), m);
      case Message.Closing m -> peer.link.heard(m.attempt(), m);
      case Message.Failed m -> peer.link.heard(m.attempt(), m);
      case Message.LoadReport m -> reported(peer, m);
      case Message.Leaving m -> leaving(peer);
      default -> {
        exchange.received(connection, message);
        others.accept(connection, message);
      }
    }
  }

  @Override
  public long digest() {
    return exchange.digest();
  }

  @Override
  public void heartbeat(WireConnection connection, long digest) {
    exchange.heartbeat(connection, digest);
  }

  @Override
  public void closed(WireConnection connection, HornbeamusherException reason) {
    exchange.closed(connection);
    Peer peer = peers.remove(connection);
    if (peer == null) {
      return;
    }
    EventLog.log(
        EventType.PEER_LOST, "peer", connection.peer().instance(), "reason", reason.type());
    if (current.remove(peer.link.endpoint(), peer)) {
      leave(peer);
    }
    peer.link.lost(reason);
  }

  private void reported(Peer peer, Message.LoadReport report) {
    if (current.get(peer.link.endpoint()) != peer) {
      return;
    }
    if (report.batch() == 0) {
      leave(peer);
      return;
    }
    synchronized (peer) {
      if (peer.leaving) {
        return;
      }
      if (!peer.joined) {
        peer.joined = true;
        decisions.joined(peer.link.endpoint(), peer.zone, peer.pool);
      }
      decisions.reported(peer.link.endpoint(), load(report));
    }
  }

  private void leaving(Peer peer) {
    synchronized (peer) {
      peer.leaving = true;
    }
    if (current.get(peer.link.endpoint()) == peer) {
      leave(peer);
    }
  }

  private void leave(Peer peer) {
    synchronized (peer) {
      if (peer.joined) {
        peer.joined = false;
        decisions.left(peer.link.endpoint());
      }
    }
  }

  private static EndpointLoad load(Message.LoadReport report) {
    Set<AdapterRef> resident = new HashSet<>();
    report.resident().forEach(name -> resident.add(AdapterRef.parse(name)));
    return new EndpointLoad(
        report.running(),
        report.queued(),
        report.batch(),
        report.slots(),
        report.queueWaitMillis(),
        report.loadWaitMillis(),
        resident);
  }
}
