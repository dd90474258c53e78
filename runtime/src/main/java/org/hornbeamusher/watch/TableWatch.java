package org.hornbeamusher.watch;

import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.transfer.IncompleteTransferException;
import org.hornbeamusher.transfer.TransferStats;

/**
 * Follows one table by long polling.
 *
 * <p>It reads the complete table once and then requests the changes since then. The service holds
 * such a request until there is a change, so that a change arrives within milliseconds and few
 * calls are needed. The hold time is short, because a connection may go silent without being
 * closed, and only the end of the hold time reveals that. If the history no longer contains the
 * last revision, the table is read again. So it is when the service was restored from a copy: its
 * revisions are then given out again for other changes.
 *
 * <p>A table that changes constantly is better read completely at fixed intervals; a wait time of 0
 * selects that.
 *
 * <p>While the service is unavailable the last known state stays in use. A failed read is retried
 * with longer timeouts, from the page that failed: at once after a timeout, after a pause if it was
 * refused. The pause doubles after each response that was cut off, so that retries of large
 * responses do not saturate the link that they need.
 */
public final class TableWatch {

  private static final long NO_REVISION = -1;

  private final ChangeFeed feed;
  private final String table;
  private final WatchSettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final Listener listener;
  private long revision = NO_REVISION;
  private long failingSinceMillis;

  /** Limit on doubling the pause after responses that were cut off. */
  private static final int MAX_DOUBLINGS = 3;

  /** The pages of a complete read in progress; null if there is none. */
  private PagedRead pagedRead;

  /** Failed requests in a row. */
  private int failures;

  /** Those failed requests whose responses were cut off. */
  private int interruptedResponses;

  /** When the last successful request was sent; before the first one, when the watch started. */
  private long confirmedMillis;

  /** When data was last received from the service. */
  private long lastReceivedMillis;

  /** The request whose response is awaited; null if there is none. */
  private PendingRequest pending;

  /** The pause between a response and the next request; null if there is none. */
  private EventLoop.Timer pause;

  private boolean stale;
  private boolean stopped;

  /**
   * Creates a watch that is not started.
   *
   * @param feed the table service
   * @param table the table
   * @param settings the timing of the requests
   * @param loop the event loop on which the listener is called
   * @param clock a monotonic clock
   * @param listener receives every response, also one without changes
   */
  public TableWatch(
      ChangeFeed feed,
      String table,
      WatchSettings settings,
      EventLoop loop,
      Clock clock,
      Listener listener) {
    this.feed = feed;
    this.table = table;
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
  }

  /** Receives the content of a table and its changes. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called when the service has responded.
     *
     * @param changes all rows, or those that changed, possibly none
     * @param requestedMillis when the request was sent, by the watch's clock; all changes
     *     acknowledged before that time have been received
     */
    void received(TableChanges changes, long requestedMillis);

    /**
     * Called when a request has failed; it is retried.
     *
     * @param requestedMillis when the request was sent, by the watch's clock
     */
    default void readFailed(long requestedMillis) {}
  }

  /** Starts to follow the table. */
  public void start() {
    confirmedMillis = clock.millis();
    lastReceivedMillis = confirmedMillis;
    loop.execute(this::sendRequest);
  }

  /** Ends a pause between two requests; must be called on the loop. */
  public void refresh() {
    if (pause != null) {
      pause.cancel();
      sendRequest();
    }
  }

  /**
   * Repeats a pending request, whose connection may be dead; must be called on the loop. A response
   * to the first request is discarded.
   */
  public void restart() {
    if (pending != null) {
      sendRequest();
    }
  }

  /** Stops the watch; a pending response is discarded. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the maximum age of the known state.
   *
   * @return milliseconds since the last successful request was sent
   */
  public long ageMillis() {
    return clock.millis() - confirmedMillis;
  }

  private void sendRequest() {
    pause = null;
    if (stopped) {
      return;
    }
    if (pagedRead == null && (revision == NO_REVISION || settings.waitMillis() == 0)) {
      pagedRead = new PagedRead();
    }
    PendingRequest request =
        new PendingRequest(pagedRead == null ? "changes" : "page", clock.millis());
    pending = request;
    EventLoop.Timer ageCheck =
        loop.after(Math.max(0, settings.staleMillis() - ageMillis()), () -> checkAge(request));
    if (pagedRead == null) {
      feed.since(table, revision, holdMillis(), failures)
          .whenComplete(
              (changes, thrown) ->
                  requestCompleted(
                      request,
                      ageCheck,
                      thrown,
                      () -> changesReceived(changes, request.sentMillis())));
    } else {
      feed.page(table, pagedRead.after(), failures)
          .whenComplete(
              (page, thrown) ->
                  requestCompleted(
                      request, ageCheck, thrown, () -> pageReceived(page, request.sentMillis())));
    }
  }

  /**
   * Returns the hold time of the next request. The known state must not become older than two hold
   * times before the next response: after a response that took long to arrive, part of that time
   * has already passed. After a failure the hold time is 0.
   */
  private long holdMillis() {
    long excess = Math.max(0, ageMillis() - settings.waitMillis());
    return failures > 0 ? 0 : Math.max(0, settings.waitMillis() - excess);
  }

  private void requestCompleted(
      PendingRequest request, EventLoop.Timer ageCheck, Throwable thrown, Runnable handler) {
    loop.execute(
        () -> {
          ageCheck.cancel();
          if (stopped || request != pending) {
            return;
          }
          pending = null;
          if (thrown == null) {
            lastReceivedMillis = clock.millis();
            logRecovery();
            handler.run();
          } else {
            recordFailure(HornbeamusherException.from(thrown), request);
            discardStalePages();
            listener.readFailed(request.sentMillis());
            loop.after(retryMillis(request), this::sendRequest);
          }
        });
  }

  private void pageReceived(TablePage page, long requestedMillis) {
    if (!pagedRead.accepts(page)) {
      pagedRead = null;
      sendRequest();
      return;
    }
    pagedRead.add(page, requestedMillis);
    if (!pagedRead.isComplete()) {
      sendRequest();
      return;
    }
    PagedRead completedRead = pagedRead;
    pagedRead = null;
    applyChanges(completedRead.changes(), completedRead.requestedMillis());
  }

  private void changesReceived(Optional<TableChanges> changes, long requestedMillis) {
    if (changes.isEmpty()) {
      revision = NO_REVISION;
      sendRequest();
      return;
    }
    applyChanges(changes.get(), requestedMillis);
  }

  private void applyChanges(TableChanges changes, long requestedMillis) {
    revision = Math.max(revision, changes.revision());
    confirmedMillis = requestedMillis;
    if (stale && ageMillis() < settings.staleMillis()) {
      stale = false;
      EventLog.log(EventType.TABLE_CURRENT, "table", table, "age_ms", ageMillis());
    }
    try {
      listener.received(changes, requestedMillis);
    } finally {
      pause = loop.after(settings.pauseMillis(), this::sendRequest);
    }
  }

  /** Discards pages read before an outage, which must not be combined with later ones. */
  private void discardStalePages() {
    if (clock.millis() - lastReceivedMillis >= settings.staleMillis() / 2) {
      pagedRead = null;
    }
  }

  /**
   * Returns the pause before a retry. The time that the failed request took counts towards the
   * pause, except after responses that were cut off.
   */
  private long retryMillis(PendingRequest request) {
    long pause = settings.retryMillis() << Math.clamp(interruptedResponses - 1, 0, MAX_DOUBLINGS);
    long elapsed = interruptedResponses > 0 ? 0 : clock.millis() - request.sentMillis();
    return Math.max(0, pause - elapsed);
  }

  private void recordFailure(HornbeamusherException failure, PendingRequest request) {
    if (failures == 0) {
      failingSinceMillis = clock.millis();
      EventLog.log(
          EventType.PLATFORM_OUTAGE,
          "table",
          table,
          "reason",
          failure.type().label(),
          "detail",
          failure.getMessage());
    }
    failures++;
    long received =
        IncompleteTransferException.received(failure).orElse(TransferStats.NONE).bytes();
    if (received > 0) {
      interruptedResponses++;
      lastReceivedMillis = clock.millis();
    }
    // Logs only at powers of two, so that a long outage does not flood the log.
    if (Integer.bitCount(failures) == 1) {
      EventLog.log(
          EventType.TABLE_READ_FAILED,
          "table",
          table,
          "call",
          request.call(),
          "failures",
          failures,
          "reason",
          failure.type().label(),
          "after_ms",
          clock.millis() - request.sentMillis(),
          "received_bytes",
          received,
          "age_ms",
          ageMillis(),
          "row_version",
          revision);
    }
  }

  private void logRecovery() {
    if (failures > 0) {
      long outageMillis = clock.millis() - failingSinceMillis;
      EventLog.log(
          EventType.PLATFORM_BACK, "table", table, "away_ms", outageMillis, "failures", failures);
      failures = 0;
      interruptedResponses = 0;
    }
  }

  private void checkAge(PendingRequest request) {
    if (!stopped && !stale && ageMillis() >= settings.staleMillis()) {
      stale = true;
      EventLog.log(
          EventType.TABLE_STALE,
          "table",
          table,
          "age_ms",
          ageMillis(),
          "bound_ms",
          settings.staleMillis(),
          "call",
          request.call(),
          "waiting_ms",
          clock.millis() - request.sentMillis(),
          "failures",
          failures);
    }
  }

  /**
   * A pending request.
   *
   * @param call the kind of request as logged: a page of the complete table or its changes
   * @param sentMillis when it was sent
   */
  private record PendingRequest(String call, long sentMillis) {}
}
