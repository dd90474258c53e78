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

  /** Attempts started less attempts ended since the last report. */
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
    this.hash = Rendezvous.hash(id.value());
    this.hopMillis = hopMillis;
    this.loadWaitMillis = loadMillis;
  }

  void started() {
    outstanding++;
    sinceReport++;
  }

  void ended() {
    outstanding = Math.max(0, outstanding - 1);
    sinceReport--;
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
   * the endpoint that was emptiest then. Adding the entry's own dispatches since makes each of them
   * see at least its own part of the herd.
   */
  long queueWait(long serviceMillis, boolean ownWork) {
    int added = ownWork ? (reported ? sinceReport : outstanding) : 0;
    int excess = running + added + 1 - batch;
    if (queueWaitMillis > 0) {
      return Math.max(0, queueWaitMillis + added * serviceMillis / batch);
    }
    return excess > 0 ? excess * serviceMillis / batch : 0;
  }
}
