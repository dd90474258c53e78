package org.hornbeamusher.companion;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.quota.UsageRelay;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Relays the quota usage of client accounts between the entries that report it to this agent.
 * Confined to the event loop.
 */
final class UsageRelayService {

  private final QuotaSettings settings;
  private final UsageRelay<WireConnection> relay;
  private final EventLoop loop;
  private final Clock clock;
  private boolean periodic;
  private boolean updateScheduled;

  UsageRelayService(QuotaSettings settings, EventLoop loop, Clock clock) {
    this.settings = settings;
    this.relay = new UsageRelay<>(settings);
    this.loop = loop;
    this.clock = clock;
  }

  void entryConnected(WireConnection entry) {
    relay.opened(entry, entry.peer().instance());
  }

  void entryLeaving(WireConnection entry) {
    relay.left(entry);
  }

  void entryDisconnected(WireConnection entry) {
    relay.closed(entry, clock.millis());
  }

  int entryCount() {
    return relay.size(clock.millis());
  }

  void received(WireConnection entry, Message.UsageReport report) {
    relay.reported(entry, report.increments(), clock.millis());
    if (relay.changed() && !updateScheduled) {
      updateScheduled = true;
      loop.after(
          settings.urgentMillis(),
          () -> {
            updateScheduled = false;
            sendUpdates();
          });
    }
    if (!periodic) {
      periodic = true;
      sendPeriodically();
    }
  }

  /** Also sends without changes, because entries consider a silent relay unreachable. */
  private void sendPeriodically() {
    periodic = relay.used(clock.millis());
    if (periodic) {
      sendUpdates();
      loop.after(settings.intervalMillis(relay.size(clock.millis())), this::sendPeriodically);
    }
  }

  private void sendUpdates() {
    long now = clock.millis();
    int reachable = relay.reachable(now);
    int entries = relay.size(now);
    relay.pass(
        now,
        (entry, increments) -> entry.send(new Message.UsageUpdate(increments, reachable, entries)));
  }
}
