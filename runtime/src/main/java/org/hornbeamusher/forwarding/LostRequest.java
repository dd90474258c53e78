package org.hornbeamusher.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.quarantine.EndInterval;
import org.hornbeamusher.quarantine.PathContent;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.RequestContent;

/**
 * A request that was at an endpoint when the connection was lost or the request was cancelled.
 *
 * <p>The end of the endpoint counts for it only if the endpoint is known to have run after the
 * request was sent. An entry that has just started sends requests to endpoints that ended before,
 * while its list is old, and none of them is the cause.
 *
 * @param endpoint the incarnation to which the request was sent
 * @param suspects what it has in common with others
 * @param sentMillis when it was sent
 * @param runningMillis until when the endpoint ran, as far as is known without {@link
 *     EndpointLiveness}; before the send if nothing is known
 * @param lostMillis when the connection was lost
 * @param relayed whether another entry took the times
 */
record LostRequest(
    EndpointIncarnation endpoint,
    Set<CrashSuspect> suspects,
    long sentMillis,
    long runningMillis,
    long lostMillis,
    boolean relayed) {

  /** Copies the set. */
  LostRequest {
    suspects = Set.copyOf(suspects);
  }

  /** Returns what a request has in common with others that may have crashed its endpoint. */
  static Set<CrashSuspect> suspects(RequestSuspects request, boolean answered) {
    Set<CrashSuspect> suspects = new HashSet<>();
    suspects.add(request.content());
    suspects.add(request.pathContent());
    if (!answered) {
      suspects.addAll(request.parts());
    }
    return suspects;
  }

  /** Returns whether the endpoint is known to have run after the send. */
  boolean mayBeCause() {
    return runningMillis >= sentMillis;
  }

  /** Returns this request with the knowledge of when the endpoint was last seen. */
  LostRequest withLastSeen(long lastSeenMillis) {
    return new LostRequest(
        endpoint,
        suspects,
        sentMillis,
        Math.max(runningMillis, lastSeenMillis),
        lostMillis,
        relayed);
  }

  /** Returns this request with times that count from another zero. */
  LostRequest withTimesShiftedBy(long millis) {
    return new LostRequest(
        endpoint,
        suspects,
        sentMillis + millis,
        runningMillis + millis,
        lostMillis + millis,
        relayed);
  }

  /**
   * Returns the crash that counts for a suspect; all times are by the service clock.
   *
   * @param endMillis when the end of the endpoint was noticed
   * @param estimate identifies this entry's estimate of the clock
   * @return empty if the endpoint is not known to have run after the send
   */
  Optional<CrashRecord.Crash> crash(CrashSuspect suspect, long endMillis, int estimate) {
    if (!mayBeCause()) {
      return Optional.empty();
    }
    long afterMillis =
        switch (suspect) {
          case RequestContent content -> sentMillis;
          case PathContent path -> runningMillis;
          case PromptPartId part -> runningMillis;
        };
    long beforeMillis = runningMillis > lostMillis ? endMillis : lostMillis;
    EndInterval ended =
        new EndInterval(
            Math.max(0, afterMillis),
            Math.max(1, beforeMillis),
            relayed ? EndInterval.UNKNOWN_ESTIMATE : estimate);
    return Optional.of(new CrashRecord.Crash(endpoint, false, ended));
  }
}
