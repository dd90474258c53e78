package org.hornbeamusher.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.holdings.AdapterSlots;
import org.hornbeamusher.holdings.EngineWorkload;
import org.hornbeamusher.holdings.EngineWorkloads;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.holdings.WorkloadReportThrottle;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * The entries that are connected to an agent, and the last state reported to each.
 *
 * <p>The data that entries use for placement is reported only when it changes: holdings at once,
 * because a request for a withdrawn adapter would be refused; load and costs at a limited rate,
 * because they change with each request.
 *
 * <p>Confined to the agent's loop.
 */
final class ConnectedEntries {

  /** Minimum interval of load reports; each entry sends at most about one request in this time. */
  private static final long MIN_REPORT_INTERVAL_MILLIS = 60;

  private final Map<WireConnection, Entry> entries = new HashMap<>();

  /** The holdings last reported to every connected entry; null while an entry has none. */
  private Holdings reportedHoldings;

  private long nextReportMillis;
  private long lastNumber;

  int size() {
    return entries.size();
  }

  /** Adds an entry that has connected; the next reports to it are complete. */
  void entryConnected(WireConnection connection) {
    entries.put(connection, new Entry(++lastNumber));
    reportedHoldings = null;
  }

  /** Removes a lost connection and returns the number that identifies its reservations. */
  OptionalLong entryDisconnected(WireConnection connection) {
    Entry entry = entries.remove(connection);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.number);
  }

  /** Returns the number that identifies an entry's reservations; empty for an unknown entry. */
  OptionalLong number(WireConnection connection) {
    Entry entry = entries.get(connection);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.number);
  }

  /** Notifies the entry that made a reservation that its adapter is ready. */
  void notifyGranted(ReservationId id) {
    entries.forEach(
        (connection, entry) -> {
          if (entry.number == id.entry()) {
            connection.send(new Message.ReservationGranted(id.number()));
          }
        });
  }

  /**
   * Reports what the engine holds, if that has changed.
   *
   * @param incarnation the current incarnation of the engine; empty while the engine is unreachable
   * @param adapterSlots what it holds
   * @param entryCount the number of entries that share the common limits
   * @param leaving whether it takes no new work
   */
  void reportHoldings(
      Optional<EndpointIncarnation> incarnation,
      AdapterSlots adapterSlots,
      int entryCount,
      boolean leaving) {
    Holdings now =
        new Holdings(incarnation, adapterSlots.held(), adapterSlots.loading(), entryCount, leaving);
    if (!now.equals(reportedHoldings)) {
      reportedHoldings = now;
      Message message = now.message();
      entries.keySet().forEach(connection -> connection.send(message));
    }
  }

  /**
   * Reports the engine's workload and load costs to each entry, if they have changed and are due.
   *
   * @param adapterSlots what it holds
   * @param now milliseconds
   * @return when the next report is due; {@link Long#MAX_VALUE} when no entry has one outstanding
   */
  long reportWorkload(AdapterSlots adapterSlots, long now) {
    if (now < nextReportMillis) {
      return nextReportMillis;
    }
    nextReportMillis = now + MIN_REPORT_INTERVAL_MILLIS;
    long due = Long.MAX_VALUE;
    EngineWorkloads workloads = adapterSlots.workloads(now);
    LoadCosts costs = adapterSlots.costs();
    for (Map.Entry<WireConnection, Entry> one : entries.entrySet()) {
      Entry entry = one.getValue();
      entry.reportWorkload(one.getKey(), workloads.fromOthers(entry.number), entries.size(), now);
      entry.reportCosts(one.getKey(), costs);
      due = Math.min(due, entry.throttle.dueMillis(entries.size()));
    }
    return Math.max(due, nextReportMillis);
  }

  /**
   * The state that is reported identically to every entry.
   *
   * @param incarnation the current incarnation of the engine
   * @param held adapters and base models that can be used
   * @param loading adapters that are being loaded
   * @param entryCount the number of entries
   * @param leaving whether the engine takes no new work
   */
  private record Holdings(
      Optional<EndpointIncarnation> incarnation,
      Set<AdapterVersion> held,
      Set<AdapterVersion> loading,
      int entryCount,
      boolean leaving) {

    Message message() {
      return new Message.Holdings(
          incarnation.map(one -> one.id().value()).orElse(""),
          toStrings(held),
          toStrings(loading),
          entryCount,
          leaving,
          incarnation
              .map(EndpointIncarnation::startMillis)
              .orElse(EndpointIncarnation.UNKNOWN_START));
    }

    private static List<String> toStrings(Set<AdapterVersion> adapters) {
      return adapters.stream().map(AdapterVersion::toString).sorted().toList();
    }
  }

  private static final class Entry {

    private final long number;
    private final WorkloadReportThrottle throttle = new WorkloadReportThrottle();
    private LoadCosts reportedCosts;

    Entry(long number) {
      this.number = number;
    }

    void reportWorkload(WireConnection connection, EngineWorkload workload, int entries, long now) {
      if (throttle.tryReport(workload, entries, now)) {
        connection.send(
            new Message.PeerLoad(
                workload.requests(),
                workload.pendingPromptTokens(),
                workload.spareSlots(),
                workload.waitingAdapters()));
      }
    }

    void reportCosts(WireConnection connection, LoadCosts costs) {
      if (!costs.equals(reportedCosts)) {
        reportedCosts = costs;
        connection.send(
            new Message.EngineCosts(
                costs.storeLoadMillis(),
                costs.cachedLoadMillis(),
                costs.slotWaitMillis(),
                costs.cachedAdapters()));
      }
    }
  }
}
