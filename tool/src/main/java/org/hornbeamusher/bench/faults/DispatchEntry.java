package org.hornbeamusher.bench.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.membership.HeartbeatMonitor;
import org.hornbeamusher.membership.PeerEvent;
import org.hornbeamusher.membership.PeerListEntry;
import org.hornbeamusher.membership.PeerTable;
import org.hornbeamusher.responses.AssemblyResult;
import org.hornbeamusher.responses.ResponseAssembler;
import org.hornbeamusher.responses.ResponseState;

/** An entry process: the real peer table, monitors and assemblers around a small shell. */
final class DispatchEntry {

  /** A drain's 2 s, a silent connection's 4 s, and what messages take. */
  private static final long LEAVING_KNOWN_MILLIS = 6_500;

  private static final int MOST_ATTEMPTS = 3;
  private static final long KEPT_BYTES = 10_000;

  private final DispatchHistory history;
  private final Timeline timeline;
  private final Chaos chaos;
  private final Process process;
  private final PeerTable table = new PeerTable();
  private final Map<String, Link> links = new HashMap<>();
  private final Map<Link, HeartbeatMonitor> monitors = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();

  private static final class Attempt {

    private final Link link;
    private final DispatchRequest request;
    private final int number;
    private final ResponseAssembler assembler;

    Attempt(long id, Link link, DispatchRequest request, int number) {
      this.link = link;
      this.request = request;
      this.number = number;
      this.assembler = new ResponseAssembler(id, KEPT_BYTES);
    }
  }

  DispatchEntry(DispatchHistory history) {
    this.history = history;
    this.timeline = history.timeline();
    this.chaos = history.chaos();
    this.process = new Process(timeline);
    timeline.every(1_000, () -> process.run(this::beat));
  }

  Process process() {
    return process;
  }

  void listed(List<PeerListEntry> list) {
    apply(table.updateFromList(list));
  }

  void introduced(Link link) {
    if (monitors.containsKey(link)) {
      heard(link);
      DispatchAgent agent = link.agent();
      apply(
          table.helloReceived(
              agent.address(), link.ordinal(), agent.instance(), agent.incarnation()));
    }
  }

  void heard(Link link) {
    HeartbeatMonitor monitor = monitors.get(link);
    if (monitor != null) {
      monitor.received(timeline.now());
    }
  }

  void leaving(Link link) {
    heard(link);
    if (history.breakage() != Breakage.LEAVING_IGNORED) {
      apply(table.leavingReceived(link.agent().address(), link.agent().incarnation()));
    }
  }

  void closed(Link link) {
    if (monitors.remove(link) != null) {
      links.remove(link.agent().address(), link);
      apply(table.disconnected(link.agent().address(), link.ordinal()));
      settle(link);
    }
  }

  /** Takes in a caller's request. */
  void request(DispatchRequest request) {
    timeline.after(
        Math.max(1, request.deadlineMillis() - timeline.now()),
        () -> process.run(() -> deadlinePassed(request)));
    attempt(request, 1, Set.of());
  }

  void part(Link link, long id, long sequence, byte[] bytes) {
    heard(link);
    Attempt attempt = attempts.get(id);
    if (attempt == null) {
      return;
    }
    if (history.breakage() == Breakage.PARTS_UNORDERED) {
      attempt.request.receive(new String(bytes, StandardCharsets.UTF_8));
    }
    handOn(id, attempt, attempt.assembler.partReceived(id, sequence, bytes));
  }

  void closing(Link link, long id, long count, long checksum) {
    heard(link);
    Attempt attempt = attempts.get(id);
    if (attempt != null) {
      handOn(id, attempt, attempt.assembler.closingReceived(id, count, checksum));
    }
  }

  /** The agent says that an attempt ended without a whole answer. */
  void failed(Link link, long id) {
    heard(link);
    Attempt attempt = attempts.remove(id);
    if (attempt != null) {
      again(attempt);
    }
  }

  private void attempt(DispatchRequest request, int number, Set<String> excluded) {
    List<String> choices = new ArrayList<>(table.availablePeers());
    choices.removeAll(excluded);
    if (choices.isEmpty()) {
      request.end(new ResponseState.Truncated());
      return;
    }
    Link link = links.get(chaos.one(choices));
    judgeTarget(link.agent());
    long id = history.nextAttempt();
    attempts.put(id, new Attempt(id, link, request, number));
    link.toAgent(() -> link.agent().dispatched(link, id, request));
  }

  private void judgeTarget(DispatchAgent agent) {
    boolean known = timeline.now() > agent.leavingSince() + LEAVING_KNOWN_MILLIS;
    boolean stale = agent.leaving() && known && !process.pausedSince(agent.leavingSince());
    boolean agentSpoke = !agent.process().pausedSince(agent.leavingSince());
    chaos.check(
        Check.WORK_FOR_LEAVING,
        !(stale && agentSpoke),
        agent.address() + " leaves since " + (timeline.now() - agent.leavingSince()) + " ms");
  }

  private void handOn(long id, Attempt attempt, AssemblyResult delivery) {
    if (history.breakage() != Breakage.PARTS_UNORDERED) {
      delivery
          .parts()
          .forEach(part -> attempt.request.receive(new String(part, StandardCharsets.UTF_8)));
    }
    if (delivery.state().ended()) {
      attempts.remove(id);
      attempt.request.end(delivery.state());
    }
  }

  private void settle(Link link) {
    if (history.breakage() == Breakage.LOSS_NOT_SETTLED) {
      attempts.values().removeIf(attempt -> attempt.link == link);
      return;
    }
    List<Long> lost = new ArrayList<>();
    attempts.forEach(
        (id, attempt) -> {
          if (attempt.link == link) {
            lost.add(id);
          }
        });
    lost.forEach(id -> again(attempts.remove(id)));
  }

  /** What the caller has already received cannot be taken back, so such an answer is cut. */
  private void again(Attempt attempt) {
    if (attempt.request.ended()) {
      return;
    }
    if (attempt.request.receivedAny() || attempt.number == MOST_ATTEMPTS) {
      attempt.request.end(attempt.assembler.connectionEnded());
      return;
    }
    Set<String> excluded = new HashSet<>(Set.of(attempt.link.agent().address()));
    attempt(attempt.request, attempt.number + 1, excluded);
  }

  private void deadlinePassed(DispatchRequest request) {
    List<Long> open = new ArrayList<>();
    attempts.forEach(
        (id, attempt) -> {
          if (attempt.request == request) {
            open.add(id);
          }
        });
    for (long id : open) {
      Attempt attempt = attempts.remove(id);
      attempt.link.toAgent(() -> attempt.link.agent().cancelled(attempt.link, id));
      request.end(attempt.assembler.connectionEnded());
    }
  }

  private void beat() {
    for (Link link : List.copyOf(monitors.keySet())) {
      link.tellAgent(() -> link.agent().heard(link));
      if (monitors.get(link).checkTimedOut(timeline.now())) {
        closed(link);
        link.close();
      }
    }
  }

  private void apply(List<PeerEvent> events) {
    for (PeerEvent event : events) {
      switch (event) {
        case PeerEvent.Connect connect -> connect(connect.address());
        case PeerEvent.Lost lost -> {
          Link link = links.get(lost.address());
          if (link != null && link.agent().incarnation().equals(lost.incarnation())) {
            settle(link);
          }
        }
        case PeerEvent.Joined joined -> {}
        case PeerEvent.Leaving leaving -> {}
      }
    }
  }

  private void connect(String address) {
    timeline.after(
        chaos.between(1, 200), () -> process.run(() -> history.open(this, address, this::opened)));
  }

  private void opened(String address, Link link) {
    if (link == null) {
      long ordinal = history.nextConnection();
      timeline.after(1_000, () -> process.run(() -> apply(table.disconnected(address, ordinal))));
      return;
    }
    links.put(address, link);
    monitors.put(link, new HeartbeatMonitor(1_000, 3, timeline.now()));
  }
}
