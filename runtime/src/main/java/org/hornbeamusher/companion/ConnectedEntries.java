package org.hornbeamusher.companion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.holdings.AdapterPlaces;
import org.hornbeamusher.holdings.EngineLoad;
import org.hornbeamusher.holdings.EngineLoads;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.holdings.LoadReportThrottle;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * The entries that are connected to an agent, and what was reported to each.
 *
 * <p>Whatever an entry places by is reported when it changes and not again: holdings at once,
 * because a request that is sent to an adapter that was withdrawn comes back; load and costs at a
 * pace, because they change with each request.
 *
 * <p>Confined to the agent's loop.
 */
final class ConnectedEntries {

  /** Entries place by it; in this time each sends one request or none. */
  private static final long LOAD_MILLIS = 60;

  private final Map<WireConnection, Entry> entries = new HashMap<>();

  /** The holdings that every connected entry has; null when one of them has not. */
  private Holdings reported;

  private long nextLoadMillis;
  private long numbers;

  /** Counts them. */
  int size() {
    return entries.size();
  }

  /** An entry has connected; everything is reported to it. */
  void opened(WireConnection connection) {
    entries.put(connection, new Entry(++numbers));
    reported = null;
  }

  /** A connection is lost; returns the number by which its reservations are known. */
  OptionalLong closed(WireConnection connection) {
    Entry entry = entries.remove(connection);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.number);
  }

  /** Returns the number by which an entry's reservations are known; empty when it is not known. */
  OptionalLong number(WireConnection connection) {
    Entry entry = entries.get(connection);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.number);
  }

  /** Notifies the entry that made a reservation that its adapter can be used. */
  void granted(ReservationId id) {
    entries.forEach(
        (connection, entry) -> {
          if (entry.number == id.entry()) {
            connection.send(new Message.Granted(id.number()));
          }
        });
  }

  /**
   * Reports what the engine holds, if that has changed.
   *
   * @param life the life of the engine that is seen; empty while none is
   * @param places what it holds
   * @param sharing how many entries share what all entries may do together
   * @param leaving whether it takes no new work
   */
  void reportHoldings(
      Optional<EndpointLife> life, AdapterPlaces places, int sharing, boolean leaving) {
    Holdings now = new Holdings(life, places.held(), places.coming(), sharing, leaving);
    if (!now.equals(reported)) {
      reported = now;
      Message message = now.message();
      entries.keySet().forEach(connection -> connection.send(message));
    }
  }

  /**
   * Reports what the engine has to do and what loads cost there, if that has changed and is due.
   *
   * @param places what it holds
   * @param now milliseconds
   * @return when it is due again; {@link Long#MAX_VALUE} when every entry knows everything
   */
  long reportLoad(AdapterPlaces places, long now) {
    if (now < nextLoadMillis) {
      return nextLoadMillis;
    }
    nextLoadMillis = now + LOAD_MILLIS;
    long due = Long.MAX_VALUE;
    EngineLoads loads = places.loads(now);
    LoadCosts costs = places.costs();
    for (Map.Entry<WireConnection, Entry> one : entries.entrySet()) {
      Entry entry = one.getValue();
      entry.reportLoad(one.getKey(), loads.others(entry.number), entries.size(), now);
      entry.reportCosts(one.getKey(), costs);
      due = Math.min(due, entry.throttle.dueMillis(entries.size()));
    }
    return Math.max(due, nextLoadMillis);
  }

  /**
   * What is reported to every entry alike.
   *
   * @param life the life of the engine that is seen
   * @param held what can be used
   * @param coming what is on its way
   * @param entries how many entries there are
   * @param leaving whether it takes no new work
   */
  private record Holdings(
      Optional<EndpointLife> life,
      Set<HeldAdapter> held,
      Set<HeldAdapter> coming,
      int entries,
      boolean leaving) {

    Message message() {
      return new Message.Holdings(
          life.map(one -> one.id().value()).orElse(""),
          texts(held),
          texts(coming),
          entries,
          leaving,
          life.map(EndpointLife::startMillis).orElse(EndpointLife.UNKNOWN_START));
    }

    private static List<String> texts(Set<HeldAdapter> adapters) {
      return adapters.stream().map(HeldAdapter::toString).sorted().toList();
    }
  }

  private static final class Entry {

    private final long number;
    private final LoadReportThrottle throttle = new LoadReportThrottle();
    private LoadCosts reportedCosts;

    Entry(long number) {
      this.number = number;
    }

    void reportLoad(WireConnection connection, EngineLoad load, int entries, long now) {
      if (throttle.pass(load, entries, now)) {
        connection.send(
            new Message.PeerLoad(load.requests(), load.unreadTokens(), load.sparePlaces()));
      }
    }

    void reportCosts(WireConnection connection, LoadCosts costs) {
      if (!costs.equals(reportedCosts)) {
        reportedCosts = costs;
        connection.send(
            new Message.EngineCosts(
                costs.storeMillis(), costs.copyMillis(), costs.placeMillis(), costs.copies()));
      }
    }
  }
}
