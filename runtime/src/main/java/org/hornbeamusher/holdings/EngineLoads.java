package org.hornbeamusher.holdings;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The workload of an engine, by the entry that sent the requests. */
public final class EngineLoads {

  private final Map<Long, EngineLoad> byEntry = new HashMap<>();
  private final int sparePlaces;
  private int requests;
  private long unreadTokens;

  EngineLoads(Collection<Reservation> reservations, int sparePlaces) {
    this.sparePlaces = sparePlaces;
    for (Reservation one : reservations) {
      requests++;
      unreadTokens += one.unreadTokens();
      byEntry.merge(one.id().entry(), new EngineLoad(1, one.unreadTokens(), 0), EngineLoads::sum);
    }
  }

  private static EngineLoad sum(EngineLoad one, EngineLoad other) {
    return new EngineLoad(
        one.requests() + other.requests(), one.unreadTokens() + other.unreadTokens(), 0);
  }

  /**
   * Returns the workload from all other entries; an entry knows its own requests first-hand.
   *
   * @param entry the connection of the entry to which the workload is reported
   * @return the load without that entry's requests
   */
  public EngineLoad others(long entry) {
    EngineLoad own = byEntry.getOrDefault(entry, new EngineLoad(0, 0, 0));
    return new EngineLoad(
        requests - own.requests(), unreadTokens - own.unreadTokens(), sparePlaces);
  }
}
