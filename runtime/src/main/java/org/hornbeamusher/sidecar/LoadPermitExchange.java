package org.hornbeamusher.sidecar;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.recovery.LoadPermitRequest;
import org.hornbeamusher.recovery.LoadPermitResponse;
import org.hornbeamusher.recovery.LoadPermits;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.routing.RendezvousHash;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Chooses the entry that coordinates the loads of this agent, and exchanges permits with it.
 *
 * <p>The coordinator is chosen by rendezvous hashing among the connected entries, so that agents
 * that are connected to the same entries choose the same one. An entry that does not respond, for
 * example because it does not know the message, is passed over for {@link #SUSPENSION_MILLIS}.
 *
 * <p>Confined to the agent's loop.
 */
final class LoadPermitExchange {

  private static final long SUSPENSION_MILLIS = 10_000;

  /** Notifies the former coordinator that another one was chosen. */
  private static final Message RELEASE = new Message.LoadPermitRequest(0, 0, 0, 0, 0, 0);

  private static final long CHOICE_KEY = RendezvousHash.hash("load-coordinator");

  private final LoadPermits permits = new LoadPermits();
  private final Clock clock;
  private final Counter silent;

  /** The connected entries, and until when each is passed over. */
  private final Map<WireConnection, Long> suspendedUntilMillis = new HashMap<>();

  private WireConnection coordinator;

  LoadPermitExchange(Clock clock, MetricRegistry registry) {
    this.clock = clock;
    this.silent = registry.counter("agent.load_permits.coordinator_silent");
    Gauge<String> mode = () -> permits.mode().name();
    registry.gauge("agent.load_permits.mode", () -> mode);
  }

  LoadPermits permits() {
    return permits;
  }

  void entryConnected(WireConnection entry) {
    suspendedUntilMillis.put(entry, Long.MIN_VALUE);
    choose("entry-connected");
  }

  void entryDisconnected(WireConnection entry) {
    suspendedUntilMillis.remove(entry);
    if (entry == coordinator) {
      choose("connection-lost");
    }
  }

  /** Passes over an entry that is draining. */
  void entryLeaving(WireConnection entry) {
    suspendedUntilMillis.replace(entry, Long.MAX_VALUE);
    if (entry == coordinator) {
      choose("draining");
    }
  }

  void received(WireConnection from, Message.LoadPermitResponse message) {
    if (from == coordinator) {
      permits.received(
          new LoadPermitResponse(
              message.epoch(),
              message.paced(),
              message.grantedPermits(),
              message.waitMillis(),
              message.concurrencyLimit()),
          clock.millis());
    }
  }

  /** Updates the demand; sends the request that is due. */
  void update(StoreLoadDemand demand) {
    long now = clock.millis();
    if (permits.coordinatorSilent(now)) {
      silent.inc();
      suspendedUntilMillis.put(coordinator, now + SUSPENSION_MILLIS);
      choose("silent");
    } else if (coordinator == null) {
      choose("suspension-ended");
    }
    permits.updateDemand(demand, now);
    permits.dueRequest(now).ifPresent(this::send);
  }

  private void send(LoadPermitRequest request) {
    coordinator.send(
        new Message.LoadPermitRequest(
            request.epoch(),
            request.demand().adapters(),
            request.demand().onTimeRequests(),
            request.usedPermits(),
            request.loadMillis(),
            request.concurrencyLimit()));
  }

  private void choose(String reason) {
    long now = clock.millis();
    Optional<WireConnection> next =
        suspendedUntilMillis.entrySet().stream()
            .filter(entry -> entry.getValue() <= now)
            .map(Map.Entry::getKey)
            .max(Comparator.comparing(LoadPermitExchange::weight, Long::compareUnsigned));
    if (next.orElse(null) == coordinator) {
      return;
    }
    if (suspendedUntilMillis.containsKey(coordinator)) {
      coordinator.send(RELEASE);
    }
    coordinator = next.orElse(null);
    if (coordinator == null) {
      permits.coordinatorLost();
    } else {
      permits.coordinatorChosen();
    }
    EventLog.log(
        EventType.LOAD_COORDINATOR_CHANGED,
        "coordinator",
        next.map(entry -> entry.peer().instance()).orElse(""),
        "reason",
        reason,
        "entries",
        suspendedUntilMillis.size());
  }

  private static long weight(WireConnection entry) {
    return RendezvousHash.weight(CHOICE_KEY, RendezvousHash.hash(entry.peer().instance()));
  }
}
