package org.hornbeamusher.routing;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;

/** An entry's state of one endpoint: its last report and the entry's attempts since then. */
final class EndpointState {

  final EndpointId id;
  final EndpointPool pool;
  final long hash;

  /** Network round trip time to the endpoint. */
  final long roundTripMillis;

  /** Number of attempts of this entry that have not ended. */
  int outstanding;

  /** Attempts for resident adapters started since the last report, minus attempts ended since. */
  int startedSinceReport;

  /**
   * Whether the endpoint has left the pool; then no attempt is sent to it, even if other state
   * still refers to it.
   */
  boolean left;

  boolean reported;
  int running;
  int batch = 1;
  long queueWaitMillis;
  long loadWaitMillis;
  Set<AdapterRef> resident = Set.of();

  final EndpointSpeed health = new EndpointSpeed();

  EndpointState(EndpointId id, EndpointPool pool, long roundTripMillis, long loadMillis) {
    this.id = id;
    this.pool = pool;
    this.hash = RendezvousHash.hash(id.value());
    this.roundTripMillis = roundTripMillis;
    this.loadWaitMillis = loadMillis;
  }

  /**
   * Records the start of an attempt. One that waits for a load does not occupy a batch slot yet, so
   * it is not counted in {@link #startedSinceReport}.
   */
  void attemptStarted(boolean resident) {
    outstanding++;
    if (resident) {
      startedSinceReport++;
    }
  }

  void attemptEnded() {
    outstanding = Math.max(0, outstanding - 1);
    startedSinceReport = Math.max(0, startedSinceReport - 1);
  }

  void updateLoad(EndpointLoad load, long loadMillis) {
    reported = true;
    running = load.running();
    batch = Math.max(1, load.batch());
    queueWaitMillis = load.queueWaitMillis();
    loadWaitMillis = Math.max(loadMillis, load.loadWaitMillis());
    startedSinceReport = 0;
  }

  /**
   * Estimates how long a request for a resident adapter would wait for a batch slot.
   *
   * <p>A report is already out of date on arrival, and until the next one every entry would send
   * all its requests to the endpoint with the lowest reported load. So an entry adds its own
   * dispatches since the report, and assumes the same number for each other entry, because all of
   * them receive the same reports and similar traffic.
   */
  long estimateQueueWait(long serviceMillis, int entries) {
    int assumed = entries * (reported ? startedSinceReport : outstanding);
    if (queueWaitMillis > 0) {
      return queueWaitMillis + assumed * serviceMillis / batch;
    }
    int excess = running + assumed + 1 - batch;
    return excess > 0 ? excess * serviceMillis / batch : 0;
  }
}
