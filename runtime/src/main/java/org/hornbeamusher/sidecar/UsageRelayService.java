package org.hornbeamusher.sidecar;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.quota.UsageRelay;
import org.hornbeamusher.quota.UsageSteps;
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
    relay.entryConnected(
        entry, entry.peer().instance(), entry.peer().incarnation(), clock.millis());
  }

  void entryLeaving(WireConnection entry) {
    relay.entryLeaving(entry);
  }

  void entryDisconnected(WireConnection entry) {
    relay.entryDisconnected(entry, clock.millis());
  }

  int entryCount() {
    return relay.entryCount(clock.millis());
  }

  void received(WireConnection entry, Message.UsageReport report) {
    relay.recordReport(
        entry,
        report.windowMillis(),
        report.sentMillis(),
        report.usage(),
        report.unknownEntries(),
        clock.millis());
    if (relay.hasUnforwardedUsage() && !updateScheduled) {
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
    periodic = relay.hasReportingEntries(clock.millis());
    if (periodic) {
      sendUpdates();
      loop.after(settings.intervalMillis(relay.entryCount(clock.millis())), this::sendPeriodically);
    }
  }

  private void sendUpdates() {
    long now = clock.millis();
    relay.forwardUsage(
        now,
        (entry, usage, status) ->
            entry.send(
                new Message.UsageUpdate(
                    UsageSteps.stepOf(now),
                    usage,
                    status.answeredMillis(),
                    status.knownMillis(),
                    status.settledMillis(),
                    status.reachable(),
                    status.entries(),
                    status.silentEntries(),
                    status.hidden())));
  }
}
