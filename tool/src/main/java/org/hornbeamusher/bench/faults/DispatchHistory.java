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
 * Two entries send requests to three agents while agents drain, die and are replaced at the same
 * address, engines crash, and connections break or go silent.
 */
final class DispatchHistory {

  private static final long FAULTS_END = 40_000;
  private static final long QUIET_END = 70_000;
  private static final long LIST_LAG_MILLIS = 4_000;
  private static final int ENTRIES = 2;
  private static final int AGENTS = 3;
  private static final int REQUESTS = 60;
  private static final int ADAPTERS = 6;

  private final Timeline timeline;
  private final Chaos chaos;
  private final Breakage breakage;
  private final List<DispatchEntry> entries = new ArrayList<>();
  private final Map<String, DispatchAgent> agents = new HashMap<>();
  private final List<Link> links = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  private long attempts;
  private long connections;
  private long incarnations;

  private record Sent(DispatchRequest request, DispatchEntry entry) {}

  DispatchHistory(Timeline timeline, Chaos chaos, Breakage breakage) {
    this.timeline = timeline;
    this.chaos = chaos;
    this.breakage = breakage;
  }

  Timeline timeline() {
    return timeline;
  }

  Chaos chaos() {
    return chaos;
  }

  Breakage breakage() {
    return breakage;
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
      timeline.after(chaos.between(500, FAULTS_END), () -> send(number));
    }
    list();
    timeline.every(2_000, this::list);
    timeline.every(1_000, this::strike);
    timeline.runUntil(FAULTS_END);
    chaos.quieten();
    timeline.runUntil(QUIET_END);
    sent.forEach(one -> one.request().judge(chaos, one.entry().process().alive()));
  }

  /** Opens a connection to whatever process is at an address; null when there is none. */
  void open(DispatchEntry entry, String address, BiConsumer<String, Link> opened) {
    Optional<DispatchAgent> agent =
        Optional.ofNullable(agents.get(address)).filter(found -> found.process().alive());
    if (agent.isEmpty()) {
      opened.accept(address, null);
      return;
    }
    Link link = new Link(timeline, chaos, nextConnection(), entry, agent.get());
    links.add(link);
    opened.accept(address, link);
    agent.get().process().run(() -> agent.get().opened(link));
  }

  /** A drained agent has finished what it had and ends. */
  void exited(DispatchAgent agent) {
    stop(agent);
  }

  private void stop(DispatchAgent agent) {
    agent.process().die();
    links.stream().filter(link -> link.agent() == agent).forEach(Link::close);
    timeline.after(chaos.between(100, 3_000), () -> startAgent(agent.address()));
  }

  private void startAgent(String address) {
    agents.put(address, new DispatchAgent(this, address, ++incarnations));
  }

  /** The platform's list as it was some seconds ago. */
  private void list() {
    List<PeerListEntry> now = new ArrayList<>();
    agents
        .values()
        .forEach(
            agent ->
                now.add(new PeerListEntry(agent.address(), agent.instance(), agent.leaving())));
    for (DispatchEntry entry : entries) {
      long lag = timeline.now() == Timeline.START_MILLIS ? 0 : LIST_LAG_MILLIS;
      timeline.after(lag, () -> entry.process().run(() -> entry.listed(now)));
    }
  }

  private void send(int number) {
    DispatchEntry entry = chaos.one(entries);
    AdapterRef adapter =
        new AdapterRef(
            new ServiceName("lm-dispatch"),
            new AdapterName("a" + (int) (Math.pow(chaos.random().nextDouble(), 2) * ADAPTERS)),
            (int) chaos.between(1, 2));
    long deadline = timeline.now() + chaos.between(2_000, 12_000);
    DispatchRequest request =
        new DispatchRequest(number, adapter, (int) chaos.between(1, 8), deadline);
    entry
        .process()
        .run(
            () -> {
              sent.add(new Sent(request, entry));
              entry.request(request);
            });
  }

  private void strike() {
    links.forEach(Link::strike);
    for (DispatchAgent agent : List.copyOf(agents.values())) {
      if (!agent.process().alive()) {
        continue;
      }
      if (chaos.strikes(Fault.ENGINE_CRASHED, 0.02)) {
        agent.crashEngine();
      }
      if (chaos.strikes(Fault.PROCESS_PAUSED, 0.01)) {
        agent.process().pause(chaos.between(500, 10_000));
      }
      if (!agent.leaving() && chaos.strikes(Fault.AGENT_DRAINED, 0.01)) {
        agent.process().run(agent::drain);
      }
      if (chaos.strikes(Fault.PROCESS_DIED, 0.005)) {
        stop(agent);
      }
    }
    for (DispatchEntry entry : entries) {
      if (chaos.strikes(Fault.PROCESS_PAUSED, 0.005)) {
        entry.process().pause(chaos.between(500, 10_000));
      }
    }
  }
}
