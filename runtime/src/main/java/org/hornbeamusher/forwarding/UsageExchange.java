package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.wire.Message;

/**
 * Reports an entry's usage of client account quotas to two of its connected agents and receives the
 * aggregated usage of all entries. All entries choose the same two agents by rendezvous hashing, so
 * that each of them receives the usage of all entries.
 */
final class UsageExchange implements AgentConnections.UsageListener {

  private final QuotaMeter<InetSocketAddress> meter;
  private final QuotaSettings settings;
  private final Transport transport;
  private final EventLoop loop;
  private final Clock clock;
  private final RelaySelection selection = new RelaySelection();
  private boolean started;
  private boolean reportingSoon;

  UsageExchange(
      QuotaMeter<InetSocketAddress> meter,
      QuotaSettings settings,
      Transport transport,
      EventLoop loop,
      Clock clock) {
    this.meter = meter;
    this.settings = settings;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /** Sends a message to an agent that is connected. */
  @FunctionalInterface
  interface Transport {

    void send(InetSocketAddress agent, Message message);
  }

  /** Starts reporting; does nothing if already started or if no account has a quota. */
  void start() {
    if (!started && meter.active()) {
      started = true;
      reportRegularly();
    }
  }

  @Override
  public void opened(InetSocketAddress agent) {
    selection.opened(agent);
    meter.relayConnected(agent);
  }

  @Override
  public void closed(InetSocketAddress agent) {
    selection.closed(agent);
    meter.relayDisconnected(agent);
  }

  @Override
  public void received(InetSocketAddress agent, Message.UsageUpdate update) {
    meter.usageReported(
        agent,
        update.increments(),
        update.reachableEntryCount(),
        update.entryCount(),
        clock.millis());
  }

  /** Called when the usage of an account has changed at this entry. */
  void changed(AccountName account) {
    if (!reportingSoon && meter.reportUrgent(account, clock.millis())) {
      reportingSoon = true;
      loop.after(
          settings.urgentMillis(),
          () -> {
            reportingSoon = false;
            report();
          });
    }
  }

  private void reportRegularly() {
    report();
    loop.after(settings.intervalMillis(meter.entryCount()), this::reportRegularly);
  }

  private void report() {
    for (InetSocketAddress relay : selection.relays()) {
      transport.send(relay, new Message.UsageReport(meter.takeIncrements(relay)));
    }
  }
}
