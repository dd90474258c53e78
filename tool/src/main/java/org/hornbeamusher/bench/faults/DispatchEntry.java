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

/** A simulated entry process with the real peer table, heartbeat monitors and assemblers. */
final class DispatchEntry {

  /**
   * Time until entries must know of a drain: 2 s of grace, 4 s for the timeout of an unresponsive
   * connection, 0.5 s of message delays.
   */
  private static final long LEAVING_PROPAGATION_MILLIS = 6_500;

  private static final int MAX_ATTEMPTS = 3;
  private static final long MAX_KEPT_BYTES = 10_000;

  private final DispatchHistory history;
  private final Timeline timeline;
  private final FaultInjector injector;
  private final SimulatedProcess process;
  private final PeerTable table = new PeerTable();
  private final Map<String, FaultyConnection> links = new HashMap<>();
  private final Map<FaultyConnection, HeartbeatMonitor> monitors = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();

  private static final class Attempt {

    private final FaultyConnection link;
    private final DispatchRequest request;
    private final int number;
    private final ResponseAssembler assembler;

    Attempt(long id, FaultyConnection link, DispatchRequest request, int number) {
      this.link = link;
      this.request = request;
      this.number = number;
      this.assembler = new ResponseAssembler(id, MAX_KEPT_BYTES);
    }
  }

  DispatchEntry(DispatchHistory history) {
    this.history = history;
    this.timeline = history.timeline();
    this.injector = history.injector();
    this.process = new SimulatedProcess(timeline);
    timeline.every(1_000, () -> process.run(this::sendHeartbeats));
  }

  SimulatedProcess process() {
    return process;
  }

  void peerListReceived(List<PeerListEntry> list) {
    apply(table.updateFromList(list));
  }

  void helloReceived(FaultyConnection link) {
    if (monitors.containsKey(link)) {
      messageReceived(link);
      DispatchAgent agent = link.agent();
      apply(
          table.helloReceived(
              agent.address(), link.ordinal(), agent.instance(), agent.incarnation()));
    }
  }

  void messageReceived(FaultyConnection link) {
    HeartbeatMonitor monitor = monitors.get(link);
    if (monitor != null) {
      monitor.received(timeline.now());
    }
  }

  void leavingReceived(FaultyConnection link) {
    messageReceived(link);
    if (history.defect() != InjectedDefect.LEAVING_IGNORED) {
      apply(table.leavingReceived(link.agent().address(), link.agent().incarnation()));
    }
  }

  void connectionClosed(FaultyConnection link) {
    if (monitors.remove(link) != null) {
      links.remove(link.agent().address(), link);
      apply(table.disconnected(link.agent().address(), link.ordinal()));
      retryAttemptsOf(link);
    }
  }

  /** Accepts a caller's request. */
  void requestReceived(DispatchRequest request) {
    timeline.after(
        Math.max(1, request.deadlineMillis() - timeline.now()),
        () -> process.run(() -> deadlinePassed(request)));
    sendAttempt(request, 1, Set.of());
  }

  void partReceived(FaultyConnection link, long id, long sequence, byte[] bytes) {
    messageReceived(link);
    Attempt attempt = attempts.get(id);
    if (attempt == null) {
      return;
    }
    if (history.defect() == InjectedDefect.PARTS_UNORDERED) {
      attempt.request.receive(new String(bytes, StandardCharsets.UTF_8));
    }
    deliver(id, attempt, attempt.assembler.partReceived(id, sequence, bytes));
  }

  void responseEndReceived(FaultyConnection link, long id, long count, long checksum) {
    messageReceived(link);
    Attempt attempt = attempts.get(id);
    if (attempt != null) {
      deliver(id, attempt, attempt.assembler.closingReceived(id, count, checksum));
    }
  }

  /** Handles the report of an agent that an attempt ended without a complete response. */
  void failureReceived(FaultyConnection link, long id) {
    messageReceived(link);
    Attempt attempt = attempts.remove(id);
    if (attempt != null) {
      retryOrEnd(attempt);
    }
  }

  private void sendAttempt(DispatchRequest request, int number, Set<String> excluded) {
    List<String> choices = new ArrayList<>(table.availablePeers());
    choices.removeAll(excluded);
    if (choices.isEmpty()) {
      request.end(new ResponseState.Truncated());
      return;
    }
    FaultyConnection link = links.get(injector.pick(choices));
    checkTarget(link.agent());
    long id = history.nextAttempt();
    attempts.put(id, new Attempt(id, link, request, number));
    link.sendToAgent(() -> link.agent().dispatchReceived(link, id, request));
  }

  private void checkTarget(DispatchAgent agent) {
    boolean known = timeline.now() > agent.leavingSince() + LEAVING_PROPAGATION_MILLIS;
    boolean stale = agent.leaving() && known && !process.pausedSince(agent.leavingSince());
    boolean agentSpoke = !agent.process().pausedSince(agent.leavingSince());
    injector.check(
        Invariant.WORK_FOR_LEAVING,
        !(stale && agentSpoke),
        agent.address()
            + " was sent a request after draining for "
            + (timeline.now() - agent.leavingSince())
            + " ms");
  }

  private void deliver(long id, Attempt attempt, AssemblyResult delivery) {
    if (history.defect() != InjectedDefect.PARTS_UNORDERED) {
      delivery
          .parts()
          .forEach(part -> attempt.request.receive(new String(part, StandardCharsets.UTF_8)));
    }
    if (delivery.state().ended()) {
      attempts.remove(id);
      attempt.request.end(delivery.state());
    }
  }

  private void retryAttemptsOf(FaultyConnection link) {
    if (history.defect() == InjectedDefect.LOSS_NOT_SETTLED) {
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
    lost.forEach(id -> retryOrEnd(attempts.remove(id)));
  }

  /**
   * Retries, unless the caller has already received parts: these cannot be withdrawn, so the
   * response ends truncated.
   */
  private void retryOrEnd(Attempt attempt) {
    if (attempt.request.ended()) {
      return;
    }
    if (attempt.request.receivedAny() || attempt.number == MAX_ATTEMPTS) {
      attempt.request.end(attempt.assembler.connectionEnded());
      return;
    }
    Set<String> excluded = new HashSet<>(Set.of(attempt.link.agent().address()));
    sendAttempt(attempt.request, attempt.number + 1, excluded);
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
      attempt.link.sendToAgent(() -> attempt.link.agent().cancelReceived(attempt.link, id));
      request.end(attempt.assembler.connectionEnded());
    }
  }

  private void sendHeartbeats() {
    for (FaultyConnection link : List.copyOf(monitors.keySet())) {
      link.sendControlToAgent(() -> link.agent().messageReceived(link));
      if (monitors.get(link).checkTimedOut(timeline.now())) {
        connectionClosed(link);
        link.close();
      }
    }
  }

  private void apply(List<PeerEvent> events) {
    for (PeerEvent event : events) {
      switch (event) {
        case PeerEvent.Connect connect -> connect(connect.address());
        case PeerEvent.Lost lost -> {
          FaultyConnection link = links.get(lost.address());
          if (link != null && link.agent().incarnation().equals(lost.incarnation())) {
            retryAttemptsOf(link);
          }
        }
        case PeerEvent.Joined joined -> {}
        case PeerEvent.Leaving leaving -> {}
      }
    }
  }

  private void connect(String address) {
    timeline.after(
        injector.between(1, 200),
        () -> process.run(() -> history.open(this, address, this::connectionOpened)));
  }

  private void connectionOpened(String address, FaultyConnection link) {
    if (link == null) {
      long ordinal = history.nextConnection();
      timeline.after(1_000, () -> process.run(() -> apply(table.disconnected(address, ordinal))));
      return;
    }
    links.put(address, link);
    monitors.put(link, new HeartbeatMonitor(1_000, 3, timeline.now()));
  }
}
