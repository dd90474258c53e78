package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.quota.RelayStatus;
import org.hornbeamusher.quota.UsageAtStep;
import org.hornbeamusher.quota.UsageNames;
import org.hornbeamusher.shares.FairShares;
import org.hornbeamusher.wire.Message;

/**
 * Reports an entry's usage of client account quotas, and the demand for capacity by account, to two
 * of its connected agents and receives what all entries report, added up. All entries choose the
 * same two agents by rendezvous hashing, so that each of them receives the usage of all entries.
 */
final class UsageExchange implements AgentConnections.UsageListener {

  /** Bounds a report. */
  private static final int MAX_UNKNOWN_NAMES = 64;

  private final QuotaMeter<InetSocketAddress> meter;
  private final FairShares<InetSocketAddress> shares;
  private final QuotaSettings settings;
  private final Transport transport;
  private final EventLoop loop;
  private final Clock clock;
  private final QuotaLog log = new QuotaLog();
  private final QuotaViewLog viewLog = new QuotaViewLog();
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
    long now = clock.millis();
    meter.relayConnected(agent, now);
    shares.relayConnected(agent, now);
  }

  @Override
  public void closed(InetSocketAddress agent) {
    selection.closed(agent);
    meter.relayDisconnected(agent);
    shares.relayDisconnected(agent);
  }

  @Override
  public void received(InetSocketAddress agent, Message.UsageUpdate update) {
    Map<Boolean, List<UsageAtStep>> byShare =
        update.usage().stream()
            .collect(Collectors.partitioningBy(one -> UsageNames.isShare(one.name())));
    long now = clock.millis();
    meter
        .usageReported(
            agent,
            update.step(),
            byShare.get(false),
            new RelayStatus(
                update.answeredMillis(),
                update.knownMillis(),
                update.settledMillis(),
                update.reachableEntryCount(),
                update.entryCount(),
                update.silentEntries(),
                update.hidden()),
            now)
        .forEach((account, units) -> log.remoteUsageDecreased(account, agent, units, now));
    shares.usageReported(
        agent,
        update.step(),
        byShare.get(true),
        settings.unreachableAfterMillis(meter.entryCount()),
        now);
    viewLog.observed(meter.view(now), now);
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
    long now = clock.millis();
    viewLog.observed(meter.view(now), now);
    List<String> unknown = meter.unknownEntries(now).stream().limit(MAX_UNKNOWN_NAMES).toList();
    for (InetSocketAddress relay : selection.relays()) {
      List<UsageAtStep> usage = new ArrayList<>(meter.takeReport(relay, now));
      usage.addAll(shares.takeReport(relay, now));
      transport.send(relay, new Message.UsageReport(meter.windowMillis(), now, usage, unknown));
    }
  }
}
