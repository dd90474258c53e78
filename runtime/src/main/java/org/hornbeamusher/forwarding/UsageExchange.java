package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.quota.UsageNames;
import org.hornbeamusher.shares.FairShares;
import org.hornbeamusher.wire.Message;

/**
 * Reports an entry's usage of client account quotas, and the demand for capacity by account, to two
 * of its connected agents and receives what all entries report, added up. All entries choose the
 * same two agents by rendezvous hashing, so that each of them receives the usage of all entries.
 */
final class UsageExchange implements AgentConnections.UsageListener {

  private final QuotaMeter<InetSocketAddress> meter;
  private final FairShares<InetSocketAddress> shares;
  private final QuotaSettings settings;
  private final Transport transport;
  private final EventLoop loop;
  private final Clock clock;
  private final RelaySelection selection = new RelaySelection();
  private boolean started;
  private boolean reportingSoon;

  UsageExchange(
      QuotaMeter<InetSocketAddress> meter,
      FairShares<InetSocketAddress> shares,
      QuotaSettings settings,
      Transport transport,
      EventLoop loop,
      Clock clock) {
    this.meter = meter;
    this.shares = shares;
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

  /**
   * Starts reporting unless already started.
   *
   * @param shared whether accounts share capacity; if not, only their quotas are reported, if any
   */
  void start(boolean shared) {
    if (!started && (shared || meter.active())) {
      started = true;
      reportRegularly();
    }
  }

  @Override
  public void opened(InetSocketAddress agent) {
    selection.opened(agent);
    meter.relayConnected(agent);
    shares.relayConnected(agent);
  }

  @Override
  public void closed(InetSocketAddress agent) {
    selection.closed(agent);
    meter.relayDisconnected(agent);
    shares.relayDisconnected(agent);
  }

  @Override
  public void received(InetSocketAddress agent, Message.UsageUpdate update) {
    Map<String, Long> quotas = new HashMap<>(update.increments());
    quotas.keySet().removeIf(UsageNames::isShare);
    Map<String, Long> demand = new HashMap<>(update.increments());
    demand.keySet().removeAll(quotas.keySet());
    long now = clock.millis();
    meter
        .usageReported(agent, quotas, update.reachableEntryCount(), update.entryCount(), now)
        .forEach((account, units) -> QuotaLog.remoteUsageDecreased(account, agent, units));
    shares.usageReported(agent, demand, now);
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
      Map<String, Long> increments = meter.takeIncrements(relay);
      increments.putAll(shares.takeIncrements(relay));
      transport.send(relay, new Message.UsageReport(increments));
    }
  }
}
