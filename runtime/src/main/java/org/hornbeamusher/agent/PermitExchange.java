package org.hornbeamusher.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.pacing.LocalPacer;
import org.hornbeamusher.pacing.PaceDecision;
import org.hornbeamusher.pacing.PermitAllocator;
import org.hornbeamusher.pacing.PermitDecision;
import org.hornbeamusher.pacing.PermitSettings;
import org.hornbeamusher.pacing.PermitSource;
import org.hornbeamusher.pacing.PermitSourceChoice;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireConnector;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireSettings;
import org.hornbeamusher.wire.WireSockets;

/**
 * Sends an agent's requests for load permits to the agent that grants the permits of its weight
 * store (the holder), and grants permits when this agent is the holder. The decisions are made in
 * {@link org.hornbeamusher.pacing}.
 *
 * <p>An agent keeps one connection, to the holder. Agents are identified by their instance here, as
 * in the platform's list of instances.
 */
final class PermitExchange {

  /** Permits of this agent for loads from its weight store. */
  interface LoadPermits {

    /** Requests a permit; demand 0 withdraws the request. */
    void request(PartnerId partner, double demand);

    /** Returns the permit that was granted last. */
    void release();
  }

  /** Interval of reads of the instance list; with 1,400 agents the platform serves 140 reads/s. */
  private static final long LIST_MILLIS = 10_000;

  /** Interval while no other agent is known, as after a simultaneous start of all processes. */
  private static final long ALONE_LIST_MILLIS = 1_000;

  private final EndpointId self;
  private final String store;
  private final PermitSettings settings;
  private final Message.Hello hello;
  private final WireSettings wire;
  private final WireSockets sockets;
  private final Clock clock;
  private final Supplier<CompletableFuture<List<Instance>>> instances;
  private final Runnable onGranted;
  private final PermitSourceChoice choice;
  private final LocalPacer pacer;

  /** One allocator per weight store for which agents consider this agent the holder. */
  private final Map<String, PermitAllocator> allocators = new HashMap<>();

  private final Map<EndpointId, WireConnection> requesters = new HashMap<>();
  private Map<EndpointId, Instance> knownAgents = Map.of();
  private long nextListMillis;
  private PermitSource source = new PermitSource.OwnAllocator();
  private Optional<Link> link = Optional.empty();
  private Optional<Message.PermitRequest> pending = Optional.empty();

  /** Returns the permit in use; empty without one. */
  private Optional<Runnable> permitInUse = Optional.empty();

  /** The connection to the holder. */
  private record Link(EndpointId holder, WireConnector connector) {}

  private WireConnection holderConnection;

  /**
   * The parameters of an exchange.
   *
   * @param self this agent's instance
   * @param store the weight store it loads from
   * @param settings the permit settings of the store
   * @param hello the hello message of this process
   * @param wire intervals and bounds of the connection
   * @param sockets plain or TLS sockets
   */
  record Setup(
      EndpointId self,
      String store,
      PermitSettings settings,
      Message.Hello hello,
      WireSettings wire,
      WireSockets sockets) {}

  PermitExchange(
      Setup setup,
      Supplier<CompletableFuture<List<Instance>>> instances,
      Runnable onGranted,
      Clock clock) {
    this.self = setup.self();
    this.store = setup.store();
    this.settings = setup.settings();
    this.hello = setup.hello();
    this.wire = setup.wire();
    this.sockets = setup.sockets();
    this.instances = instances;
    this.onGranted = onGranted;
    this.clock = clock;
    this.choice = new PermitSourceChoice(self, store);
    this.pacer = new LocalPacer(settings.intervalMillis(), self.value().hashCode());
  }

  /** Returns the interface through which the agent requests permits. */
  LoadPermits permits() {
    return new LoadPermits() {
      @Override
      public void request(PartnerId partner, double demand) {
        PermitExchange.this.request(partner, demand);
      }

      @Override
      public void release() {
        PermitExchange.this.release();
      }
    };
  }

  /** Updates the source of permits and grants those that are due. */
  void tick() {
    long now = clock.millis();
    List<Runnable> tasks = new ArrayList<>();
    synchronized (this) {
      refreshList(now);
      chooseSource(now);
      grantDue(now, tasks);
      paceLocally(now, tasks);
    }
    tasks.forEach(Runnable::run);
  }

  /** Closes the connection to the holder. */
  synchronized void stop() {
    link.ifPresent(open -> open.connector().stop());
    link = Optional.empty();
  }

  /** Handles a message of another agent to the holder; returns whether it concerned permits. */
  synchronized boolean messageReceived(WireConnection connection, Message message) {
    switch (message) {
      case Message.PermitRequest ask -> {
        EndpointId agent = new EndpointId(ask.endpoint());
        requesters.put(agent, connection);
        allocator(ask.store())
            .request(agent, new PartnerId(ask.partner()), ask.demand(), clock.millis());
      }
      case Message.PermitRelease done ->
          requesters.forEach(
              (agent, requester) -> {
                if (requester == connection) {
                  allocator(done.store()).release(agent, done.grantId());
                }
              });
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Removes the requests and permits of the agent at the other end. */
  synchronized void connectionClosed(WireConnection connection) {
    requesters
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = entry.getValue() == connection;
              if (gone) {
                allocators.values().forEach(allocator -> allocator.removeAgent(entry.getKey()));
              }
              return gone;
            });
  }

  private synchronized void request(PartnerId partner, double demand) {
    Message.PermitRequest ask =
        new Message.PermitRequest(store, self.value(), partner.value(), demand);
    pending = demand > 0 ? Optional.of(ask) : Optional.empty();
    switch (source) {
      case PermitSource.OwnAllocator own ->
          allocator(store).request(self, partner, demand, clock.millis());
      case PermitSource.RemoteHolder holder -> {
        if (holderConnection != null) {
          holderConnection.send(ask);
        }
      }
      case PermitSource.SelfPaced local -> {}
    }
  }

  private synchronized void release() {
    permitInUse.ifPresent(Runnable::run);
    permitInUse = Optional.empty();
  }

  /** Requests the instance list when due. The last list stays in use while requests fail. */
  private void refreshList(long now) {
    if (now < nextListMillis) {
      return;
    }
    nextListMillis = now + (knownAgents.size() > 1 ? LIST_MILLIS : ALONE_LIST_MILLIS);
    instances.get().thenAccept(this::listReceived);
  }

  private synchronized void listReceived(List<Instance> instances) {
    Map<EndpointId, Instance> agents = new HashMap<>();
    for (Instance instance : instances) {
      if (instance.role() == Instance.Role.AGENT && !instance.leaving()) {
        agents.put(new EndpointId(instance.id()), instance);
      }
    }
    knownAgents = agents;
  }

  private void chooseSource(long now) {
    Set<EndpointId> all = new HashSet<>(knownAgents.keySet());
    all.add(self);
    Set<EndpointId> reachable = new HashSet<>(Set.of(self));
    if (holderConnection != null && holderConnection.isOpen()) {
      link.ifPresent(open -> reachable.add(open.holder()));
    }
    source = choice.choose(all, reachable, now);
    switch (source) {
      case PermitSource.OwnAllocator own -> stop();
      case PermitSource.RemoteHolder holder -> connectTo(holder.holder());
      case PermitSource.SelfPaced local -> {}
    }
  }

  private void connectTo(EndpointId holder) {
    if (link.filter(open -> open.holder().equals(holder)).isPresent()) {
      return;
    }
    stop();
    holderConnection = null;
    Instance instance = knownAgents.get(holder);
    WireConnector connector =
        new WireConnector(
            new InetSocketAddress(instance.host(), instance.port()),
            hello,
            new HolderListener(),
            wire,
            sockets,
            clock);
    link = Optional.of(new Link(holder, connector));
    connector.start();
  }

  private void grantDue(long now, List<Runnable> tasks) {
    allocators.forEach(
        (name, allocator) -> {
          while (allocator.poll(now) instanceof PermitDecision.Grant grant) {
            if (grant.agent().equals(self)) {
              acceptPermit(() -> allocator.release(self, grant.grantId()), tasks);
            } else {
              requesters
                  .get(grant.agent())
                  .send(new Message.PermitGrant(name, grant.grantId(), grant.expiresMillis()));
            }
          }
        });
  }

  private void paceLocally(long now, List<Runnable> tasks) {
    if (!(source instanceof PermitSource.SelfPaced)) {
      pacer.reset();
      return;
    }
    if (pending.isPresent()
        && pacer.tryAcquire(knownAgents.size(), now) instanceof PaceDecision.Proceed) {
      acceptPermit(() -> {}, tasks);
    }
  }

  private void acceptPermit(Runnable end, List<Runnable> tasks) {
    pending = Optional.empty();
    permitInUse = Optional.of(end);
    tasks.add(onGranted);
  }

  private PermitAllocator allocator(String name) {
    return allocators.computeIfAbsent(name, key -> new PermitAllocator(settings));
  }

  /** Handles the connection to the holder. */
  private final class HolderListener implements WireListener {

    @Override
    public void opened(WireConnection connection, Message.Hello peer) {
      synchronized (PermitExchange.this) {
        holderConnection = connection;
        pending.ifPresent(connection::send);
      }
    }

    @Override
    public void received(WireConnection connection, Message message) {
      if (!(message instanceof Message.PermitGrant grant)) {
        return;
      }
      List<Runnable> tasks = new ArrayList<>();
      synchronized (PermitExchange.this) {
        acceptPermit(
            () -> connection.send(new Message.PermitRelease(grant.store(), grant.grantId())),
            tasks);
      }
      tasks.forEach(Runnable::run);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      synchronized (PermitExchange.this) {
        if (holderConnection == connection) {
          holderConnection = null;
        }
      }
    }
  }
}
