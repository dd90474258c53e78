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
  private boolean regular;
  private boolean passingSoon;

  UsageRelayService(QuotaSettings settings, EventLoop loop, Clock clock) {
    this.settings = settings;
    this.relay = new UsageRelay<>(settings);
    this.loop = loop;
    this.clock = clock;
  }

  void opened(WireConnection entry) {
    relay.opened(entry, entry.peer().instance());
  }

  void left(WireConnection entry) {
    relay.left(entry);
  }

  void closed(WireConnection entry) {
    relay.closed(entry, clock.millis());
  }

  int entries() {
    return relay.size(clock.millis());
  }

  void received(WireConnection entry, Message.UsageReport report) {
    relay.reported(entry, report.increments(), clock.millis());
    if (relay.changed() && !passingSoon) {
      passingSoon = true;
      loop.after(
          settings.urgentMillis(),
          () -> {
            passingSoon = false;
            pass();
          });
    }
    if (!regular) {
      regular = true;
      passRegularly();
    }
  }

  /** Also sends without changes, because entries consider a silent relay unreachable. */
  private void passRegularly() {
    regular = relay.used(clock.millis());
    if (regular) {
      pass();
      loop.after(settings.intervalMillis(relay.size(clock.millis())), this::passRegularly);
    }
  }

  private void pass() {
    long now = clock.millis();
    int reachable = relay.reachable(now);
    int entries = relay.size(now);
    relay.pass(
        now,
        (entry, increments) -> entry.send(new Message.UsageUpdate(increments, reachable, entries)));
  }
}
