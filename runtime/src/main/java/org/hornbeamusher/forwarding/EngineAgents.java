package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.membership.PeerCount;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.routing.Rendezvous;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;

/**
 * An entry's connections to the agents beside the engines, and the reservations made there.
 *
 * <p>Confined to the loop; what the connections' threads hear is handed over to it.
 */
final class EngineAgents {

  /**
   * An engine that restarts is missing from the list for some seconds. Its agent is not: kept, the
   * connection tells of the engine's next life before the list does.
   */
  private static final long KEPT_UNLISTED_MILLIS = 10_000;

  private static final long WANTED = Long.MAX_VALUE;

  /** Agents that start, or that are cut off as well, see few entries for a while. */
  private static final long COUNTED_MILLIS = 30_000;

  private final Map<InetSocketAddress, Link> links = new HashMap<>();
  private final PeerCount peers = new PeerCount(COUNTED_MILLIS);
  private final Map<EndpointId, EndpointView> views;
  private final Message.Hello own;
  private final WireTransport transport;
  private final EventLoop loop;
  private final Clock clock;
  private Listener listener = Listener.NONE;
  private UsageListener usage = UsageListener.NONE;
  private PermitListener permits = PermitListener.NONE;
  private long reservations;

  EngineAgents(
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

  /** Tells a listener what the agents say of the lives of their engines. */
  void listener(Listener hears) {
    listener = hears;
  }

  /** Sets who exchanges usage of quotas with the agents. */
  void usage(UsageListener exchange) {
    usage = exchange;
  }

  /** Sets who asks the agents for permits. */
  void permits(PermitListener asking) {
    permits = asking;
  }

  /**
   * Returns the agent that paces the requests to an endpoint: the one beside it, otherwise the same
   * one for all entries that are connected to the same agents.
   */
  Optional<InetSocketAddress> pacer(EndpointLife endpoint) {
    long key = Rendezvous.hash(endpoint.id().value());
    return links.values().stream()
        .filter(link -> link.connection != null)
        .max(
            Comparator.<Link, Boolean>comparing(link -> link.serves(endpoint))
                .thenComparing(link -> link.weight(key), Long::compareUnsigned))
        .map(link -> link.address);
  }

  /** Sends a message to the agent at an address; dropped when it is not connected. */
  void send(InetSocketAddress agent, Message message) {
    Link link = links.get(agent);
    if (link != null) {
      link.send(message);
    }
  }

  /** Notifies all agents that this entry takes no more callers. */
  void leaving() {
    links.values().forEach(link -> link.send(new Message.Leaving()));
  }

  /** Connects to the agents of these addresses, and in time to no others. */
  void connect(Collection<InetSocketAddress> addresses) {
    long now = clock.millis();
    addresses.stream().filter(address -> !links.containsKey(address)).forEach(this::open);
    links.forEach((address, link) -> link.wanted(addresses.contains(address), now));
    for (Link link : List.copyOf(links.values())) {
      if (now - link.unwantedMillis >= KEPT_UNLISTED_MILLIS) {
        links.remove(link.address).connector.stop();
      }
    }
  }

  void stop() {
    links.values().forEach(link -> link.connector.stop());
    links.clear();
  }

  private void open(InetSocketAddress address) {
    Link link = new Link(address);
    link.connector = transport.connect(address, own, link);
    links.put(address, link);
    link.connector.start();
  }

  /** Applies what an agent said before its endpoint was listed. */
  void listed(Endpoint endpoint) {
    for (Link link : links.values()) {
      if (link.life.filter(endpoint.life()::sameAs).isPresent()) {
        link.apply();
      }
    }
  }

  /**
   * Returns how many entries there are, by what agents have said. Losing them says nothing about
   * the other entries.
   *
   * @return empty until the first agent has said it
   */
  OptionalInt knownEntries() {
    return peers.most();
  }

  /** Returns how many entries there are; an assumption until the first agent has said it. */
  int entries() {
    return knownEntries().orElse(QuotaSettings.DEFAULT.assumedEntries());
  }

  /** Makes a reservation at an endpoint's agent; only where one is connected and sees this life. */
  EngineReservation reserve(
      EndpointLife endpoint, EngineReservation.Request request, EngineReservation.Listener hears) {
    for (Link link : links.values()) {
      if (link.serves(endpoint)) {
        EngineReservation made = new EngineReservation(link, ++reservations, request, hears, clock);
        link.live.put(made.number(), made);
        made.announce();
        return made;
      }
    }
    return EngineReservation.NONE;
  }

  /** Hears what agents say of the lives of their engines. */
  interface Listener {

    /** Hears nothing. */
    Listener NONE =
        new Listener() {
          @Override
          public void seen(EndpointLife life, String address) {}

          @Override
          public void unseen(EndpointLife life) {}

          @Override
          public void agentLost(EndpointId id) {}
        };

    /**
     * An agent sees this life of the engine at an address; every other life that the engine had has
     * ended, whatever its id.
     */
    void seen(EndpointLife life, String address);

    /** An agent that saw this life of its engine sees another endpoint, or none for now. */
    void unseen(EndpointLife life);

    /** No agent speaks of this endpoint any more. */
    void agentLost(EndpointId id);
  }

  /** Receives what agents add up of the usage of quotas. */
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

    /** An agent has passed on what other entries use. */
    void received(InetSocketAddress agent, Message.UsageUpdate update);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** Receives what agents decide about requests to endpoints that limit their rate. */
  interface PermitListener {

    /** Ignores everything. */
    PermitListener NONE =
        new PermitListener() {
          @Override
          public void received(Message.RatePermitReply reply) {}

          @Override
          public void closed(InetSocketAddress agent) {}
        };

    /** An agent has decided. */
    void received(Message.RatePermitReply reply);

    /** The connection to an agent was lost. */
    void closed(InetSocketAddress agent);
  }

  /** One agent. */
  final class Link implements WireListener {

    private final InetSocketAddress address;
    private final Map<Long, EngineReservation> live = new HashMap<>();
    private WireService connector;
    private WireConnection connection;
    private Message.Holdings holdings;

    /** The life of its engine that the agent sees; empty while it sees none. */
    private Optional<EndpointLife> life = Optional.empty();

    /** What the agent has learnt of its engine; it learns on through the engine's lives. */
    private Optional<LoadCosts> costs = Optional.empty();

    /** The address of the engine beside the agent, by the agent's word. */
    private String engine = "";

    /** Since when the list names no engine at this address. */
    private long unwantedMillis = WANTED;

    Link(InetSocketAddress address) {
      this.address = address;
    }

    void wanted(boolean wanted, long now) {
      unwantedMillis = wanted ? WANTED : Math.min(unwantedMillis, now);
    }

    long weight(long key) {
      return Rendezvous.weight(key, Rendezvous.hash(address.toString()));
    }

    boolean serves(EndpointLife endpoint) {
      return connection != null && life.isPresent() && endpoint.sameAs(life.get());
    }

    private static Optional<EndpointLife> lifeOf(Message.Holdings said) {
      return said.endpoint().isEmpty()
          ? Optional.empty()
          : Optional.of(new EndpointLife(new EndpointId(said.endpoint()), said.startMillis()));
    }

    void send(Message message) {
      if (connection != null) {
        connection.send(message);
      }
    }

    void forget(long reservation) {
      live.remove(reservation);
    }

    @Override
    public void opened(WireConnection opened, Message.Hello peer) {
      loop.execute(
          () -> {
            connection = opened;
            engine = peer.endpoint();
            EventLog.log(EventType.PEER_CONNECTED, "peer", peer.instance(), "at", address);
            live.values().forEach(EngineReservation::announce);
            usage.opened(address);
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
        case Message.Holdings said -> {
          peers.counted(said.entries(), clock.millis());
          Optional<EndpointLife> before = life;
          holdings = said;
          life = lifeOf(said);
          tellLives(before);
          apply();
        }
        case Message.PeerLoad said -> {
          EndpointView view = view();
          if (view != null) {
            view.reportedLoad(said.requests(), said.unreadTokens(), said.sparePlaces());
          }
        }
        case Message.EngineCosts said -> {
          costs =
              Optional.of(
                  new LoadCosts(
                      said.storeMillis(), said.copyMillis(), said.placeMillis(), said.copies()));
          applyCosts();
        }
        case Message.UsageUpdate update -> usage.received(address, update);
        case Message.RatePermitReply reply -> permits.received(reply);
        case Message.Granted said -> {
          EngineReservation granted = live.get(said.reservation());
          if (granted != null) {
            granted.granted();
          }
        }
        default -> {
          // A newer agent may say more than this entry understands.
        }
      }
    }

    /** The agent sees another life of its engine, or none. */
    private void tellLives(Optional<EndpointLife> before) {
      life.ifPresent(now -> listener.seen(now, engine));
      before
          .filter(one -> life.filter(next -> next.id().equals(one.id())).isEmpty())
          .ifPresent(listener::unseen);
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
        view.reported(parse(holdings.held()), parse(holdings.coming()), holdings.leaving());
      }
    }

    /** What is believed of the life that the agent sees; null when another one is in force. */
    private EndpointView view() {
      return life.map(now -> views.get(now.id()))
          .filter(view -> view.life().sameAs(life.get()))
          .orElse(null);
    }

    private void lost(WireConnection closed, HornbeamusherException reason) {
      if (connection != closed) {
        return;
      }
      connection = null;
      usage.closed(address);
      permits.closed(address);
      EventLog.log(EventType.PEER_LOST, "peer", address, "reason", reason.type().label());
      EndpointView view = view();
      if (view != null) {
        view.agentLost();
      }
      life.ifPresent(last -> listener.agentLost(last.id()));
      holdings = null;
      life = Optional.empty();
      List.copyOf(live.values()).forEach(EngineReservation::lost);
    }

    private static Set<HeldAdapter> parse(List<String> texts) {
      return texts.stream().map(HeldAdapter::parse).collect(Collectors.toSet());
    }
  }
}
