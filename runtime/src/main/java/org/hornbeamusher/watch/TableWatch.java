package org.hornbeamusher.watch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;

/**
 * Follows one table.
 *
 * <p>It reads the whole table once and then asks for what has changed since. The service holds such
 * a question until there is something to say, which brings a change here within milliseconds for
 * few calls. The time that it may hold one is short: a connection may go silent for good, and only
 * the end of that time shows it. When the history does not reach back, the table is read again.
 *
 * <p>A table that changes all the time is better read whole at a fixed pace; that is what a waiting
 * time of 0 means.
 *
 * <p>While the service is away nothing changes here: what was known stays in use.
 */
public final class TableWatch {

  private static final long NOTHING = -1;

  private final ChangeFeed feed;
  private final String table;
  private final WatchSettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final Listener listener;
  private long revision = NOTHING;
  private long failingSinceMillis = NOTHING;
  private boolean stopped;

  /**
   * Creates a watch that is not started.
   *
   * @param feed the table service
   * @param table the table
   * @param settings how closely
   * @param loop where the listener is called
   * @param clock monotonic
   * @param listener receives every answer, also one without changes
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

  /** Receives what a table holds. */
  @FunctionalInterface
  public interface Listener {

    /**
     * The service has answered.
     *
     * @param changes the rows, or those that changed, perhaps none
     * @param askedMillis when the question was sent, by the watch's clock; what had been
     *     acknowledged by then is known
     */
    void received(Changes changes, long askedMillis);

    /** The service has not answered; it is asked again. */
    default void unreachable() {}
  }

  /** Starts to follow. */
  public void start() {
    loop.execute(this::ask);
  }

  /** Ends it; an answer under way is dropped. */
  public void stop() {
    stopped = true;
  }

  private void ask() {
    if (stopped) {
      return;
    }
    boolean whole = revision == NOTHING || settings.waitMillis() == 0;
    // After a failure the next answer is wanted at once: what is known may be about to expire.
    long waitMillis = failingSinceMillis == NOTHING ? settings.waitMillis() : 0;
    long asked = clock.millis();
    CompletableFuture<Optional<Changes>> answer =
        whole ? feed.all(table).thenApply(Optional::of) : feed.since(table, revision, waitMillis);
    answer.whenComplete((changes, thrown) -> loop.execute(() -> answered(changes, asked, thrown)));
  }

  private void answered(Optional<Changes> changes, long askedMillis, Throwable thrown) {
    if (stopped) {
      return;
    }
    if (thrown != null) {
      failed(HornbeamusherException.from(thrown));
      listener.unreachable();
      loop.after(settings.retryMillis(), this::ask);
      return;
    }
    back();
    if (changes.isEmpty()) {
      revision = NOTHING;
      ask();
      return;
    }
    revision = Math.max(revision, changes.get().revision());
    try {
      listener.received(changes.get(), askedMillis);
    } finally {
      loop.after(settings.pauseMillis(), this::ask);
    }
  }

  private void failed(HornbeamusherException failure) {
    if (failingSinceMillis == NOTHING) {
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
  }

  private void back() {
    if (failingSinceMillis != NOTHING) {
      long away = clock.millis() - failingSinceMillis;
      EventLog.log(EventType.PLATFORM_BACK, "table", table, "away_ms", away);
      failingSinceMillis = NOTHING;
    }
  }
}
