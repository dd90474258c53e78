package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.membership.RecentMaximumPeerCount;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.routing.RendezvousHash;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;

/**
 * An entry's connections to the agents of the engines, and its reservations at them.
 *
 * <p>Confined to the event loop; callbacks of the connections' threads are handed over to it.
 */
final class AgentConnections implements PacingAgents {

  /**
   * A restarting engine is missing from the list for some seconds while its agent keeps running. If
   * the connection is kept, the agent reports the new incarnation before the list does.
   */
  private static final long UNLISTED_RETENTION_MILLIS = 10_000;

  private static final long LISTED = Long.MAX_VALUE;

  /** Agents that are starting or partitioned see only some of the entries for a while. */
  private static final long PEER_COUNT_WINDOW_MILLIS = 30_000;

  private final Map<InetSocketAddress, AgentConnection> connections = new HashMap<>();
  private final RecentMaximumPeerCount peers = new RecentMaximumPeerCount(PEER_COUNT_WINDOW_MILLIS);
  private final Map<EndpointId, EndpointView> views;
  private final Message.Hello own;
  private final WireTransport transport;
  private final EventLoop loop;
  private final Clock clock;
  private IncarnationListener incarnationListener = IncarnationListener.NONE;
  private UsageListener usageListener = UsageListener.NONE;
  private PermitListener permitListener = PermitListener.NONE;
  private CrashListener crashListener = CrashListener.NONE;
  private LoadListener loadListener = LoadListener.NONE;
  private Consumer<Message.StreamOriginResponse> originListener = response -> {};
  private long lastReservation;

  AgentConnections(
      Map<EndpointId, EndpointView> views,
      Message.Hello own,
      WireTransport transport,
      EventLoop loop,
      Clock clock) {
    this.views = views;
    this.own = own;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /** Sets the listener for incarnations of the engines. */
  void setIncarnationListener(IncarnationListener listener) {
    incarnationListener = listener;
  }

  /** Sets the listener for quota usage. */
  void setUsageListener(UsageListener listener) {
    usageListener = listener;
  }

  /** Sets the listener for rate permits. */
  void setPermitListener(PermitListener listener) {
    permitListener = listener;
  }

  /** Sets the listener for the origins of streams. */
  void setOriginListener(Consumer<Message.StreamOriginResponse> listener) {
    originListener = listener;
  }

  /** Sets the listener for loads from the weight store. */
  void setLoadListener(LoadListener listener) {
    loadListener = listener;
  }

  /** Sets the listener for records of crashes. */
  void setCrashListener(CrashListener listener) {
    crashListener = listener;
  }

  /**
   * Returns the agent that paces the requests to an endpoint: that of the endpoint if it is
   * connected, otherwise one chosen by rendezvous hashing, so that all entries that are connected
   * to the same agents choose the same one.
   */
  @Override
  public Optional<InetSocketAddress> pacer(EndpointIncarnation endpoint) {
    long key = RendezvousHash.hash(endpoint.id().value());
    return connections.values().stream()
        .filter(link -> link.connection != null)
        .max(
            Comparator.<AgentConnection, Boolean>comparing(link -> link.serves(endpoint))
                .thenComparing(link -> link.weight(key), Long::compareUnsigned))
        .map(link -> link.address);
  }

  /**
   * Chooses connected agents by rendezvous hashing, so that all entries that are connected to the
   * same agents choose the same ones.
   */
  List<InetSocketAddress> choose(String key, int count) {
    long hash = RendezvousHash.hash(key);
    List<AgentConnection> chosen = new ArrayList<>(count + 1);
    for (AgentConnection link : connections.values()) {
      if (link.connection != null) {
        insert(link, chosen, hash);
        if (chosen.size() > count) {
          chosen.removeLast();
        }
      }
    }
    return chosen.stream().map(link -> link.address).toList();
  }

  /** Inserts a connection before the first one that is less preferred for the key. */
  private static void insert(AgentConnection link, List<AgentConnection> chosen, long key) {
    long weight = link.weight(key);
    int position = chosen.size();
    while (position > 0 && Long.compareUnsigned(chosen.get(position - 1).weight(key), weight) < 0) {
      position--;
    }
    chosen.add(position, link);
  }

  /** Sends a message to the agent at an address; dropped if it is not connected. */
  @Override
  public void send(InetSocketAddress agent, Message message) {
    AgentConnection link = connections.get(agent);
    if (link != null) {
      link.send(message);
    }
  }

  /** Notifies all agents that this entry accepts no more callers. */
  void notifyLeaving() {
    connections.values().forEach(link -> link.send(new Message.Leaving()));
  }

  /** Connects to the agents at these addresses; closes other connections after a delay. */
  void connect(Collection<InetSocketAddress> addresses) {
    long now = clock.millis();
    addresses.stream().filter(address -> !connections.containsKey(address)).forEach(this::open);
    connections.forEach((address, link) -> link.setListed(addresses.contains(address), now));
    for (AgentConnection link : List.copyOf(connections.values())) {
      if (now - link.unlistedSinceMillis >= UNLISTED_RETENTION_MILLIS) {
        connections.remove(link.address).connector.stop();
      }
    }
  }

  void stop() {
    connections.values().forEach(link -> link.connector.stop());
    connections.clear();
  }

  private void open(InetSocketAddress address) {
    AgentConnection link = new AgentConnection(address);
    link.connector = transport.connect(address, own, link);
    connections.put(address, link);
    link.connector.start();
  }

  /** Applies reports that an agent sent before its endpoint was listed. */
  void endpointListed(Endpoint endpoint) {
    for (AgentConnection link : connections.values()) {
      if (link.incarnation.filter(endpoint.incarnation()::maybeSameAs).isPresent()) {
        link.apply();
      }
    }
  }

  /**
   * Returns the number of entries that agents have reported. Losing the agents does not change it,
   * because that says nothing about the other entries.
   *
   * @return empty until the first report
   */
  OptionalInt knownEntries() {
    return peers.maximum();
  }

  /** Returns the number of entries; an assumed one until the first report of an agent. */
  @Override
  public int entries() {
    return knownEntries().orElse(QuotaSettings.DEFAULT.assumedEntries());
  }

  /**
   * Makes a reservation at an endpoint's agent, if it is connected and its engine has the same
   * incarnation.
   */
  EngineReservation reserve(
      EndpointIncarnation endpoint,
      EngineReservation.Request request,
      EngineReservation.Listener listener) {
    for (AgentConnection link : connections.values()) {
      if (link.serves(endpoint)) {
        EngineReservation reservation =
            new EngineReservation(link, ++lastReservation, request, listener, clock);
        link.activeReservations.put(reservation.number(), reservation);
        reservation.announce();
        return reservation;
      }
    }
    return EngineReservation.NONE;
  }

  /** Receives what agents report about the incarnations of their engines. */
  interface IncarnationListener {

    /** Ignores everything. Used until a listener is set. */
    IncarnationListener NONE =
        new IncarnationListener() {
          @Override
          public void incarnationSeen(EndpointIncarnation life, String address) {}

          @Override
          public void incarnationLost(EndpointIncarnation life) {}

          @Override
          public void agentLost(EndpointId id) {}
        };

    /**
     * An agent sees this incarnation of the engine at an address. Every other incarnation of that
     * engine has ended, whatever its id.
     */
    void incarnationSeen(EndpointIncarnation incarnation, String address);

    /** An agent that saw this incarnation now sees another endpoint, or none. */
    void incarnationLost(EndpointIncarnation incarnation);

    /** The agent of this endpoint is no longer connected. */
    void agentLost(EndpointId id);
  }

  /** Receives the quota usage that agents aggregate. */
  interface UsageListener {

    /** Ignores everything. */
    UsageListener NONE =
        new UsageListener() {
          @Override
          public void opened(InetSocketAddress agent) {}

          @Override
          public void received(InetSocketAddress agent, Message.UsageUpdate update) {}

          @Override
          public void closed(InetSocketAddress agent) {}
        };

    /** A connection to an agent was opened. */
    void opened(InetSocketAddress agent);

    /** An agent has sent the usage of other entries. */
    void received(InetSocketAddress agent, Message.UsageUpdate update);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** Receives the decisions of agents about requests to rate-limited endpoints. */
  interface PermitListener {

    /** Ignores everything. */
    PermitListener NONE =
        new PermitListener() {
          @Override
          public void received(Message.RatePermitResponse response) {}

          @Override
          public void closed(InetSocketAddress agent) {}
        };

    /** An agent has granted or refused a permit. */
    void received(Message.RatePermitResponse response);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** Receives the records of crashes that agents relay. */
  interface CrashListener {

    /** Ignores everything. */
    CrashListener NONE =
        new CrashListener() {
          @Override
          public void opened(InetSocketAddress agent) {}

          @Override
          public void received(InetSocketAddress agent, Message.CrashReport report) {}

          @Override
          public void received(Message.ConnectionLoss loss) {}

          @Override
          public void closed(InetSocketAddress agent) {}
        };

    /** A connection to an agent was opened. */
    void opened(InetSocketAddress agent);

    /** An agent has relayed a record of another entry. */
    void received(InetSocketAddress agent, Message.CrashReport report);

    /** An agent has relayed a loss whose cause another entry did not find out before it ended. */
    void received(Message.ConnectionLoss loss);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** Receives what agents report of their loads from the weight store. */
  interface LoadListener {

    /** Ignores everything. */
    LoadListener NONE =
        new LoadListener() {
          @Override
          public void loadsReported(InetSocketAddress agent, int loads) {}

          @Override
          public void received(InetSocketAddress agent, Message.LoadPermitRequest request) {}

          @Override
          public void closed(InetSocketAddress agent) {}
        };

    /** An agent has reported how many loads its engine has in progress. */
    void loadsReported(InetSocketAddress agent, int loads);

    /** An agent requests permits. */
    void received(InetSocketAddress agent, Message.LoadPermitRequest request);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** The connection to one agent. */
  final class AgentConnection implements WireListener {

    private final InetSocketAddress address;

    /** Of the address; every stream that begins weighs all connections by it. */
    private final long addressHash;

    private final Map<Long, EngineReservation> activeReservations = new HashMap<>();
    private WireService connector;
    private WireConnection connection;
    private Message.Holdings holdings;

    /** The incarnation of its engine that the agent sees; empty while it sees none. */
    private Optional<EndpointIncarnation> incarnation = Optional.empty();

    /** The load costs measured by the agent; they persist across incarnations of the engine. */
    private Optional<LoadCosts> costs = Optional.empty();

    /** The address of the engine, as reported by the agent. */
    private String engineAddress = "";

    /** When the list stopped containing an engine at this address. */
    private long unlistedSinceMillis = LISTED;

    AgentConnection(InetSocketAddress address) {
      this.address = address;
      this.addressHash = RendezvousHash.hash(address.toString());
    }

    void setListed(boolean listed, long now) {
      unlistedSinceMillis = listed ? LISTED : Math.min(unlistedSinceMillis, now);
    }

    long weight(long key) {
      return RendezvousHash.weight(key, addressHash);
    }

    boolean serves(EndpointIncarnation endpoint) {
      return connection != null
          && incarnation.isPresent()
          && endpoint.maybeSameAs(incarnation.get());
    }

    private static Optional<EndpointIncarnation> incarnationOf(Message.Holdings report) {
      return report.endpoint().isEmpty()
          ? Optional.empty()
          : Optional.of(
              new EndpointIncarnation(new EndpointId(report.endpoint()), report.startMillis()));
    }

    void send(Message message) {
      if (connection != null) {
        connection.send(message);
      }
    }

    void forget(long reservation) {
      activeReservations.remove(reservation);
    }

    @Override
    public void opened(WireConnection opened, Message.Hello peer) {
      loop.execute(
          () -> {
            connection = opened;
            engineAddress = peer.endpoint();
            EventLog.log(EventType.PEER_CONNECTED, "peer", peer.instance(), "at", address);
            activeReservations.values().forEach(EngineReservation::announce);
            usageListener.opened(address);
            crashListener.opened(address);
          });
    }

    @Override
    public void received(WireConnection from, Message message) {
      loop.execute(() -> handle(message));
    }

    @Override
    public void closed(WireConnection closed, HornbeamusherException reason) {
      loop.execute(() -> lost(closed, reason));
    }

    private void handle(Message message) {
      switch (message) {
        case Message.Holdings report -> {
          peers.record(report.entryCount(), clock.millis());
          Optional<EndpointIncarnation> before = incarnation;
          holdings = report;
          incarnation = incarnationOf(report);
          notifyIncarnations(before);
          apply();
          loadListener.loadsReported(address, report.loading().size());
        }
        case Message.PeerLoad report -> {
          EndpointView view = view();
          if (view != null) {
            view.reportedLoad(report.requests(), report.pendingPromptTokens(), report.spareSlots());
            view.reportedWaitingAdapters(report.waitingAdapters());
          }
        }
        case Message.EngineCosts report -> {
          costs =
              Optional.of(
                  new LoadCosts(
                      report.storeLoadMillis(),
                      report.cachedLoadMillis(),
                      report.slotWaitMillis(),
                      report.cachedAdapters()));
          applyCosts();
        }
        case Message.LoadPermitRequest request -> loadListener.received(address, request);
        case Message.UsageUpdate update -> usageListener.received(address, update);
        case Message.RatePermitResponse response -> permitListener.received(response);
        case Message.StreamOriginResponse response -> originListener.accept(response);
        case Message.CrashReport report -> crashListener.received(address, report);
        case Message.ConnectionLoss loss -> crashListener.received(loss);
        case Message.ReservationGranted report -> {
          EngineReservation granted = activeReservations.get(report.reservation());
          if (granted != null) {
            granted.granted();
          }
        }
        default -> {
          // A newer agent may send messages that this entry does not know.
        }
      }
    }

    /** Notifies the listener of the engine's current incarnation, or of its end. */
    private void notifyIncarnations(Optional<EndpointIncarnation> before) {
      incarnation.ifPresent(now -> incarnationListener.incarnationSeen(now, engineAddress));
      before
          .filter(one -> incarnation.filter(next -> next.id().equals(one.id())).isEmpty())
          .ifPresent(incarnationListener::incarnationLost);
    }

    private void applyCosts() {
      EndpointView view = view();
      if (view != null) {
        costs.ifPresent(view::reportedCosts);
      }
    }

    private void apply() {
      applyCosts();
      EndpointView view = view();
      if (view != null) {
        view.updateFromAgent(
            parse(holdings.resident()), parse(holdings.loading()), holdings.leaving());
      }
    }

    /** Returns the view of the agent's incarnation; null if the listed one differs. */
    private EndpointView view() {
      return incarnation
          .map(now -> views.get(now.id()))
          .filter(view -> view.incarnation().maybeSameAs(incarnation.get()))
          .orElse(null);
    }

    private void lost(WireConnection closed, HornbeamusherException reason) {
      if (connection != closed) {
        return;
      }
      connection = null;
      usageListener.closed(address);
      permitListener.closed(address);
      crashListener.closed(address);
      loadListener.closed(address);
      EventLog.log(EventType.PEER_LOST, "peer", address, "reason", reason.type().label());
      EndpointView view = view();
      if (view != null) {
        view.agentLost();
      }
      incarnation.ifPresent(last -> incarnationListener.agentLost(last.id()));
      holdings = null;
      incarnation = Optional.empty();
      List.copyOf(activeReservations.values()).forEach(EngineReservation::lost);
    }

    private static Set<AdapterVersion> parse(List<String> texts) {
      return texts.stream().map(AdapterVersion::parse).collect(Collectors.toSet());
    }
  }
}
