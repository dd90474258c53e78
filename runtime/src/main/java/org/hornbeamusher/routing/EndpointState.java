package org.hornbeamusher.routing;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;

/** What an entry knows of one endpoint: its last report, and what the entry did since. */
final class EndpointState {

  final EndpointId id;
  final EndpointPool pool;
  final long hash;

  /** Round trip to it. */
  final long hopMillis;

  /** Attempts of this entry that have not ended. */
  int outstanding;

  /** Attempts for resident adapters started since the last report, less attempts ended since. */
  int sinceReport;

  /** Whether it has left; then nothing is sent to it, whatever else still refers to it. */
  boolean left;

  boolean reported;
  int running;
  int batch = 1;
  long queueWaitMillis;
  long loadWaitMillis;
  Set<AdapterRef> resident = Set.of();

  final Speed speed = new Speed();

  EndpointState(EndpointId id, EndpointPool pool, long hopMillis, long loadMillis) {
    this.id = id;
    this.pool = pool;
    this.hash = RendezvousHash.hash(id.value());
    this.hopMillis = hopMillis;
    this.loadWaitMillis = loadMillis;
  }

  /** An attempt that waits for a load takes no place in the batch for now. */
  void started(boolean resident) {
    outstanding++;
    if (resident) {
      sinceReport++;
    }
  }

  void ended() {
    outstanding = Math.max(0, outstanding - 1);
    sinceReport = Math.max(0, sinceReport - 1);
  }

  void take(EndpointLoad load, long loadMillis) {
    reported = true;
    running = load.running();
    batch = Math.max(1, load.batch());
    queueWaitMillis = load.queueWaitMillis();
    loadWaitMillis = Math.max(loadMillis, load.loadWaitMillis());
    sinceReport = 0;
  }

  /**
   * What a request for a resident adapter would wait for a place in the batch.
   *
   * <p>A report is old when it arrives. Until the next one, every entry would send all its work to
   * the endpoint that was emptiest then. So an entry adds its own dispatches since, and as many for
   * each other entry, as they see the same reports and get the same traffic.
   */
  long queueWait(long serviceMillis, int entries) {
    int added = entries * (reported ? sinceReport : outstanding);
    if (queueWaitMillis > 0) {
      return queueWaitMillis + added * serviceMillis / batch;
    }
    int excess = running + added + 1 - batch;
    return excess > 0 ? excess * serviceMillis / batch : 0;
  }
}
