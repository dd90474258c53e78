package org.hornbeamusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
import org.hornbeamusher.ids.ProcessIncarnation;
import org.hornbeamusher.membership.ConnectionPlan;
import org.hornbeamusher.membership.PeerEvent;
import org.hornbeamusher.membership.PeerListEntry;
import org.hornbeamusher.membership.PeerTable;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.status.ProcessStatus;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireConnector;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireSettings;
import org.hornbeamusher.wire.WireSockets;

/**
 * Maintains the entry's connections to agents as {@link ConnectionPlan} and {@link PeerTable}
 * decide.
 *
 * <p>An agent receives requests from its first load report until it reports that it is leaving, its
 * connection ends, or it reports that its endpoint is unreachable.
 */
final class AgentLinks {

  private static final EndpointLoad NO_LOAD = new EndpointLoad(0, 0, 0, 0, 0, 0, Set.of());

  private final Message.Hello own;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
  private final EntryDecisions decisions;
  private final DocumentExchange exchange;
  private final BiConsumer<WireConnection, Message> otherMessages;
  private final PeerTable peerTable = new PeerTable();
  private final Map<String, WireConnector> connectors = new HashMap<>();
  private final Map<WireConnection, Agent> agents = new ConcurrentHashMap<>();

  /** The agent that the requests for an endpoint are sent to. */
  private final Map<EndpointId, Agent> currentAgents = new ConcurrentHashMap<>();

  private long connectionsOpened;

  /** The agent at the other end of one connection. */
  private static final class Agent {
    final long connection;
    final ProcessIncarnation incarnation;
    final AgentLink link;
    final AvailabilityZone zone;
    final PoolName pool;

    /** The latest load report. */
    EndpointLoad load = NO_LOAD;

    /** Whether the peer table permits sending it requests. */
    boolean available;

    /** Whether the router knows its endpoint. Invariant: true only while it is available. */
    boolean routed;

    Agent(long connection, Message.Hello hello, AgentLink link) {
      this.connection = connection;
      this.incarnation = new ProcessIncarnation(hello.incarnation());
      this.link = link;
      this.zone = new AvailabilityZone(hello.zone());
      this.pool = new PoolName(hello.pool());
    }
  }

  AgentLinks(
      Message.Hello own,
      WireSettings settings,
      WireSockets sockets,
      Clock clock,
      EntryDecisions decisions,
      DocumentExchange exchange,
      BiConsumer<WireConnection, Message> otherMessages) {
    this.own = own;
    this.settings = settings;
    this.sockets = sockets;
    this.clock = clock;
    this.decisions = decisions;
    this.exchange = exchange;
    this.otherMessages = otherMessages;
  }

  /** Applies the platform's list of agents. */
  synchronized void updateFromList(List<Instance> listed) {
    List<ConnectionPlan.AgentLocation> locations = new ArrayList<>();
    List<PeerListEntry> peers = new ArrayList<>();
    for (Instance agent : listed) {
      locations.add(new ConnectionPlan.AgentLocation(address(agent), agent.zone()));
      peers.add(new PeerListEntry(address(agent), agent.id(), agent.leaving()));
    }
    Set<String> chosen =
        ConnectionPlan.chooseAgents(own.instance(), new AvailabilityZone(own.zone()), locations);
    listed.stream()
        .filter(agent -> chosen.contains(address(agent)))
        .forEach(agent -> connectors.computeIfAbsent(address(agent), key -> connect(agent)));
    for (String known : Set.copyOf(connectors.keySet())) {
      if (!chosen.contains(known)) {
        connectors.remove(known).stopWhenClosed();
      }
    }
    apply(peerTable.updateFromList(peers));
  }

  /** Returns how many connections to agents are open. */
  int connectionCount() {
    return agents.size();
  }

  /** Returns the status of every endpoint that has an available agent, ordered by endpoint id. */
  synchronized List<ProcessStatus.EndpointStatus> status() {
    return currentAgents.values().stream()
        .sorted(Comparator.comparing(agent -> agent.link.endpoint()))
        .map(AgentLinks::status)
        .toList();
  }

  private static ProcessStatus.EndpointStatus status(Agent agent) {
    return new ProcessStatus.EndpointStatus(
        agent.link.endpoint(),
        agent.zone,
        agent.pool,
        agent.routed,
        agent.load.running(),
        agent.load.batch(),
        agent.load.queued(),
        agent.load.slots(),
        List.copyOf(agent.load.resident()));
  }

  synchronized void stop() {
    connectors.values().forEach(WireConnector::stop);
    connectors.clear();
  }

  Optional<AgentLink> link(EndpointId endpoint) {
    return Optional.ofNullable(currentAgents.get(endpoint)).map(agent -> agent.link);
  }

  /** Returns how many endpoints the router knows. */
  synchronized int routedCount() {
    return (int) agents.values().stream().filter(agent -> agent.routed).count();
  }

  /** Sends a message to every agent. */
  void broadcast(Message message) {
    agents.keySet().forEach(connection -> connection.send(message));
  }

  private static String address(Instance instance) {
    return instance.host() + ":" + instance.port();
  }

  private WireConnector connect(Instance agent) {
    WireConnector connector =
        new WireConnector(
            new InetSocketAddress(agent.host(), agent.port()),
            own,
            new Listener(address(agent)),
            settings,
            sockets,
            clock);
    connector.start();
    return connector;
  }

  private synchronized void connectionOpened(
      String address, WireConnection connection, Message.Hello hello) {
    long number = connectionsOpened++;
    Agent agent =
        new Agent(number, hello, new AgentLink(new EndpointId(hello.endpoint()), connection));
    agents.put(connection, agent);
    apply(peerTable.helloReceived(address, number, hello.instance(), agent.incarnation));
  }

  private synchronized void agentLeaving(String address, Agent agent) {
    apply(peerTable.leavingReceived(address, agent.incarnation));
  }

  private synchronized void connectionClosed(
      String address, WireConnection connection, HornbeamusherException reason) {
    Agent agent = agents.remove(connection);
    if (agent == null) {
      return;
    }
    EventLog.log(
        EventType.PEER_LOST, "peer", connection.peer().instance(), "reason", reason.type());
    apply(peerTable.disconnected(address, agent.connection));
    makeUnavailable(agent);
    agent.link.connectionLost(reason);
  }

  private void apply(List<PeerEvent> events) {
    for (PeerEvent event : events) {
      switch (event) {
        case PeerEvent.Joined joined -> agentsOf(joined.incarnation()).forEach(this::makeAvailable);
        case PeerEvent.Leaving leaving ->
            agentsOf(leaving.incarnation()).forEach(this::makeUnavailable);
        case PeerEvent.Lost lost -> agentsOf(lost.incarnation()).forEach(this::makeUnavailable);
        // Connectors reconnect by themselves whenever a connection ends.
        case PeerEvent.Connect connect -> {}
      }
    }
  }

  private List<Agent> agentsOf(ProcessIncarnation incarnation) {
    return agents.values().stream().filter(agent -> agent.incarnation.equals(incarnation)).toList();
  }

  private void makeAvailable(Agent agent) {
    agent.available = true;
    currentAgents.put(agent.link.endpoint(), agent);
  }

  private void makeUnavailable(Agent agent) {
    agent.available = false;
    unroute(agent);
    currentAgents.remove(agent.link.endpoint(), agent);
  }

  private void unroute(Agent agent) {
    if (agent.routed) {
      agent.routed = false;
      decisions.endpointLeft(agent.link.endpoint());
    }
  }

  private synchronized void loadReported(Agent agent, Message.LoadReport report) {
    if (!agent.available || currentAgents.get(agent.link.endpoint()) != agent) {
      return;
    }
    if (report.batchCapacity() == 0) {
      unroute(agent);
      return;
    }
    if (!agent.routed) {
      agent.routed = true;
      decisions.endpointJoined(agent.link.endpoint(), agent.zone, agent.pool);
    }
    agent.load = load(report);
    decisions.loadReported(agent.link.endpoint(), agent.load);
  }

  private static EndpointLoad load(Message.LoadReport report) {
    Set<AdapterRef> resident = new HashSet<>();
    report.resident().forEach(name -> resident.add(AdapterRef.parse(name)));
    return new EndpointLoad(
        report.running(),
        report.queued(),
        report.batchCapacity(),
        report.adapterCapacity(),
        report.queueWaitMillis(),
        report.loadWaitMillis(),
        resident);
  }

  /** Receives the events of the connections to one address. */
  private final class Listener implements WireListener {

    private final String address;

    Listener(String address) {
      this.address = address;
    }

    @Override
    public void opened(WireConnection connection, Message.Hello hello) {
      try {
        AgentLinks.this.connectionOpened(address, connection, hello);
        exchange.opened(connection);
        EventLog.log(EventType.PEER_CONNECTED, "peer", hello.instance());
      } catch (InvalidIdentifierException e) {
        connection.close();
      }
    }

    @Override
    public void received(WireConnection connection, Message message) {
      Agent agent = agents.get(connection);
      if (agent == null) {
        return;
      }
      switch (message) {
        case Message.Started m -> agent.link.messageReceived(m.attempt(), m);
        case Message.Head m -> agent.link.messageReceived(m.attempt(), m);
        case Message.Chunk m -> agent.link.messageReceived(m.attempt(), m);
        case Message.ResponseEnd m -> agent.link.messageReceived(m.attempt(), m);
        case Message.Failed m -> agent.link.messageReceived(m.attempt(), m);
        case Message.LoadReport m -> loadReported(agent, m);
        case Message.Leaving m -> agentLeaving(address, agent);
        default -> {
          exchange.received(connection, message);
          otherMessages.accept(connection, message);
        }
      }
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      exchange.closed(connection);
      AgentLinks.this.connectionClosed(address, connection, reason);
    }

    @Override
    public long documentDigest() {
      return exchange.digest();
    }

    @Override
    public void heartbeatReceived(WireConnection connection, long digest) {
      exchange.heartbeat(connection, digest);
    }
  }
}
