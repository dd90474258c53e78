package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.membership.PeerListEntry;

/**
 * Two entries send requests to three agents while agents drain, crash and are replaced at the same
 * address, engines crash, and connections close or become unresponsive.
 */
final class DispatchHistory {

  private static final long FAULTS_END_MILLIS = 40_000;
  private static final long HISTORY_END_MILLIS = 70_000;
  private static final long LIST_LAG_MILLIS = 4_000;
  private static final int ENTRIES = 2;
  private static final int AGENTS = 3;
  private static final int REQUESTS = 60;
  private static final int ADAPTERS = 6;

  private final Timeline timeline;
  private final FaultInjector injector;
  private final InjectedDefect defect;
  private final List<DispatchEntry> entries = new ArrayList<>();
  private final Map<String, DispatchAgent> agents = new HashMap<>();
  private final List<FaultyConnection> links = new ArrayList<>();
  private final List<SentRequest> sent = new ArrayList<>();
  private long attempts;
  private long connections;
  private long incarnations;

  private record SentRequest(DispatchRequest request, DispatchEntry entry) {}

  DispatchHistory(Timeline timeline, FaultInjector injector, InjectedDefect defect) {
    this.timeline = timeline;
    this.injector = injector;
    this.defect = defect;
  }

  Timeline timeline() {
    return timeline;
  }

  FaultInjector injector() {
    return injector;
  }

  InjectedDefect defect() {
    return defect;
  }

  long nextAttempt() {
    return ++attempts;
  }

  long nextConnection() {
    return ++connections;
  }

  void run() {
    for (int i = 0; i < AGENTS; i++) {
      startAgent("10.0.0." + i + ":7400");
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new DispatchEntry(this));
    }
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      timeline.after(injector.between(500, FAULTS_END_MILLIS), () -> send(number));
    }
    sendPeerList();
    timeline.every(2_000, this::sendPeerList);
    timeline.every(1_000, this::injectFaults);
    timeline.runUntil(FAULTS_END_MILLIS);
    injector.stopFaults();
    timeline.runUntil(HISTORY_END_MILLIS);
    sent.forEach(one -> one.request().checkInvariants(injector, one.entry().process().alive()));
  }

  /** Opens a connection to the process that is now at an address; null if there is none. */
  void open(DispatchEntry entry, String address, BiConsumer<String, FaultyConnection> opened) {
    Optional<DispatchAgent> agent =
        Optional.ofNullable(agents.get(address)).filter(found -> found.process().alive());
    if (agent.isEmpty()) {
      opened.accept(address, null);
      return;
    }
    FaultyConnection link =
        new FaultyConnection(timeline, injector, nextConnection(), entry, agent.get());
    links.add(link);
    opened.accept(address, link);
    agent.get().process().run(() -> agent.get().connectionOpened(link));
  }

  /** Stops an agent that has finished its remaining requests after a drain. */
  void drainCompleted(DispatchAgent agent) {
    stop(agent);
  }

  private void stop(DispatchAgent agent) {
    agent.process().die();
    links.stream().filter(link -> link.agent() == agent).forEach(FaultyConnection::close);
    timeline.after(injector.between(100, 3_000), () -> startAgent(agent.address()));
  }

  private void startAgent(String address) {
    agents.put(address, new DispatchAgent(this, address, ++incarnations));
  }

  /** Sends the entries the platform's list of peers, which arrives some seconds old. */
  private void sendPeerList() {
    List<PeerListEntry> now = new ArrayList<>();
    agents
        .values()
        .forEach(
            agent ->
                now.add(new PeerListEntry(agent.address(), agent.instance(), agent.leaving())));
    for (DispatchEntry entry : entries) {
      long lag = timeline.now() == Timeline.START_MILLIS ? 0 : LIST_LAG_MILLIS;
      timeline.after(lag, () -> entry.process().run(() -> entry.peerListReceived(now)));
    }
  }

  private void send(int number) {
    DispatchEntry entry = injector.pick(entries);
    AdapterRef adapter =
        new AdapterRef(
            new ServiceName("lm-dispatch"),
            new AdapterName("a" + (int) (Math.pow(injector.random().nextDouble(), 2) * ADAPTERS)),
            (int) injector.between(1, 2));
    long deadline = timeline.now() + injector.between(2_000, 12_000);
    DispatchRequest request =
        new DispatchRequest(number, adapter, (int) injector.between(1, 8), deadline);
    entry
        .process()
        .run(
            () -> {
              sent.add(new SentRequest(request, entry));
              entry.requestReceived(request);
            });
  }

  private void injectFaults() {
    links.forEach(FaultyConnection::injectFaults);
    for (DispatchAgent agent : List.copyOf(agents.values())) {
      if (!agent.process().alive()) {
        continue;
      }
      if (injector.occurs(Fault.ENGINE_CRASHED, 0.02)) {
        agent.crashEngine();
      }
      if (injector.occurs(Fault.PROCESS_PAUSED, 0.01)) {
        agent.process().pause(injector.between(500, 10_000));
      }
      if (!agent.leaving() && injector.occurs(Fault.AGENT_DRAINED, 0.01)) {
        agent.process().run(agent::drain);
      }
      if (injector.occurs(Fault.PROCESS_DIED, 0.005)) {
        stop(agent);
      }
    }
    for (DispatchEntry entry : entries) {
      if (injector.occurs(Fault.PROCESS_PAUSED, 0.005)) {
        entry.process().pause(injector.between(500, 10_000));
      }
    }
  }
}
