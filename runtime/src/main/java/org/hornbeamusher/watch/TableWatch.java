package org.hornbeamusher.watch;

import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.transfer.IncompleteTransferException;
import org.hornbeamusher.transfer.Transfer;

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
 * <p>While the service is away nothing changes here: what was known stays in use. A read that fails
 * is repeated with more time, from the page that failed; one that nobody answered at once, one that
 * was refused after a pause. One that was cut in the middle is repeated later each time, so that
 * repeats of large answers do not fill the link that they need.
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
  private long failingSinceMillis;

  /** Doublings of the pause after answers that were cut. */
  private static final int MOST_DOUBLINGS = 3;

  /** The pages of a table that is being read whole; null between such reads. */
  private PagedRead reading;

  /** Questions in a row that failed. */
  private int failures;

  /** Those among them whose answers were cut in the middle. */
  private int cuts;

  /** When the question was sent that was answered last; the start before the first answer. */
  private long knownMillis;

  /** When the service last showed that it is there. */
  private long contactMillis;

  /** The pause between an answer and the next question; null while there is none. */
  private EventLoop.Timer pause;

  private boolean stale;
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

    /**
     * The service has not answered; it is asked again.
     *
     * @param askedMillis when the question was sent, by the watch's clock
     */
    default void unanswered(long askedMillis) {}
  }

  /** Starts to follow. */
  public void start() {
    knownMillis = clock.millis();
    contactMillis = knownMillis;
    loop.execute(this::ask);
  }

  /** Asks now if nothing is being asked; called on the loop. */
  public void refresh() {
    if (pause != null) {
      pause.cancel();
      ask();
    }
  }

  /** Ends it; an answer under way is dropped. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns how old what is known may be.
   *
   * @return milliseconds since the question was sent that was answered last
   */
  public long ageMillis() {
    return clock.millis() - knownMillis;
  }

  private void ask() {
    pause = null;
    if (stopped) {
      return;
    }
    if (reading == null && (revision == NOTHING || settings.waitMillis() == 0)) {
      reading = new PagedRead();
    }
    Question question = new Question(reading == null ? "changes" : "page", clock.millis());
    EventLoop.Timer ageCheck =
        loop.after(Math.max(0, settings.staleMillis() - ageMillis()), () -> checkAge(question));
    if (reading == null) {
      feed.since(table, revision, holdMillis(), failures)
          .whenComplete(
              (changes, thrown) ->
                  answered(
                      question, ageCheck, thrown, () -> changed(changes, question.sentMillis())));
    } else {
      feed.page(table, reading.after(), failures)
          .whenComplete(
              (page, thrown) ->
                  answered(question, ageCheck, thrown, () -> read(page, question.sentMillis())));
    }
  }

  /**
   * Returns for how long the next question may be held. What is known must not be older when it is
   * answered than after two holds: an answer that took long to arrive is old already, and after a
   * failure the next one is wanted at once.
   */
  private long holdMillis() {
    long late = Math.max(0, ageMillis() - settings.waitMillis());
    return failures > 0 ? 0 : Math.max(0, settings.waitMillis() - late);
  }

  private void answered(
      Question question, EventLoop.Timer ageCheck, Throwable thrown, Runnable taken) {
    loop.execute(
        () -> {
          ageCheck.cancel();
          if (stopped) {
            return;
          }
          if (thrown == null) {
            contactMillis = clock.millis();
            back();
            taken.run();
          } else {
            failed(HornbeamusherException.from(thrown), question);
            dropOldPages();
            listener.unanswered(question.sentMillis());
            loop.after(retryMillis(question), this::ask);
          }
        });
  }

  private void read(Page page, long askedMillis) {
    reading.add(page, askedMillis);
    if (!reading.whole()) {
      ask();
      return;
    }
    PagedRead done = reading;
    reading = null;
    know(done.changes(), done.askedMillis());
  }

  private void changed(Optional<Changes> changes, long askedMillis) {
    if (changes.isEmpty()) {
      revision = NOTHING;
      ask();
      return;
    }
    know(changes.get(), askedMillis);
  }

  private void know(Changes changes, long askedMillis) {
    revision = Math.max(revision, changes.revision());
    knownMillis = askedMillis;
    if (stale && ageMillis() < settings.staleMillis()) {
      stale = false;
      EventLog.log(EventType.TABLE_CURRENT, "table", table, "age_ms", ageMillis());
    }
    try {
      listener.received(changes, askedMillis);
    } finally {
      pause = loop.after(settings.pauseMillis(), this::ask);
    }
  }

  /** Pages from before an outage and pages from after it are not one table. */
  private void dropOldPages() {
    if (clock.millis() - contactMillis >= settings.staleMillis() / 2) {
      reading = null;
    }
  }

  /** A question that nobody answered has taken its time; one that was refused has not. */
  private long retryMillis(Question question) {
    long pause = settings.retryMillis() << Math.clamp(cuts - 1, 0, MOST_DOUBLINGS);
    long taken = cuts > 0 ? 0 : clock.millis() - question.sentMillis();
    return Math.max(0, pause - taken);
  }

  private void failed(HornbeamusherException failure, Question question) {
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
    long received = IncompleteTransferException.received(failure).orElse(Transfer.NONE).bytes();
    if (received > 0) {
      cuts++;
      contactMillis = clock.millis();
    }
    // The lines of a long outage are far apart.
    if (Integer.bitCount(failures) == 1) {
      EventLog.log(
          EventType.TABLE_READ_FAILED,
          "table",
          table,
          "call",
          question.call(),
          "failures",
          failures,
          "reason",
          failure.type().label(),
          "after_ms",
          clock.millis() - question.sentMillis(),
          "received_bytes",
          received,
          "age_ms",
          ageMillis(),
          "row_version",
          revision);
    }
  }

  private void back() {
    if (failures > 0) {
      long away = clock.millis() - failingSinceMillis;
      EventLog.log(EventType.PLATFORM_BACK, "table", table, "away_ms", away, "failures", failures);
      failures = 0;
      cuts = 0;
    }
  }

  private void checkAge(Question question) {
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
          question.call(),
          "waiting_ms",
          clock.millis() - question.sentMillis(),
          "failures",
          failures);
    }
  }

  /**
   * A question under way.
   *
   * @param call what was asked for: a page of the whole table or its changes
   * @param sentMillis when
   */
  private record Question(String call, long sentMillis) {}
}
