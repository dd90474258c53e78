package org.hornbeamusher.holdings;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The workload of an engine, by the entry that sent the requests. */
public final class EngineWorkloads {

  private final Map<Long, EngineWorkload> byEntry = new HashMap<>();
  private final int spareSlots;
  private final int waitingAdapters;
  private int requests;
  private long pendingPromptTokens;

  EngineWorkloads(Collection<Reservation> reservations, int spareSlots, int waitingAdapters) {
    this.spareSlots = spareSlots;
    this.waitingAdapters = waitingAdapters;
    for (Reservation one : reservations) {
      requests++;
      pendingPromptTokens += one.pendingPromptTokens();
      byEntry.merge(
          one.id().entry(),
          new EngineWorkload(1, one.pendingPromptTokens(), 0, 0),
          EngineWorkloads::sum);
    }
  }

  private static EngineWorkload sum(EngineWorkload one, EngineWorkload other) {
    return new EngineWorkload(
        one.requests() + other.requests(),
        one.pendingPromptTokens() + other.pendingPromptTokens(),
        0,
        0);
  }

  /**
   * Returns the workload from all other entries; an entry knows its own requests first-hand.
   *
   * @param entry the connection of the entry to which the workload is reported
   * @return the load without that entry's requests
   */
  public EngineWorkload fromOthers(long entry) {
    EngineWorkload own = byEntry.getOrDefault(entry, new EngineWorkload(0, 0, 0, 0));
    return new EngineWorkload(
        requests - own.requests(),
        pendingPromptTokens - own.pendingPromptTokens(),
        spareSlots,
        waitingAdapters);
  }
}
