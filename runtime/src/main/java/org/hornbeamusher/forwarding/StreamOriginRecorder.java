package org.hornbeamusher.forwarding;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.SoftwareHistory;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.SoftwareVersion;
import org.hornbeamusher.loop.EventLoop;

/**
 * Writes the versions that began the streams of this entry to the table, while several versions
 * serve. Confined to the event loop.
 *
 * <p>The entry and the agents that know a stream may end together with it. One row for all streams
 * of an entry, written at intervals, keeps the number of writes independent of the number of
 * streams; a stream that began less than an interval before such an end is not in it.
 */
final class StreamOriginRecorder {

  /** A tenth of what the smallest table service takes, over all entries. */
  private static final int WRITES_PER_SECOND = 40;

  private static final long MIN_INTERVAL_MILLIS = 500;

  /** Collects streams that begin at the same time before the first write. */
  private static final long FIRST_WRITE_DELAY_MILLIS = 100;

  /** Spreads the clean-ups of entries that start together. */
  private static final int MAX_CLEANUP_DELAY_MILLIS = 10_000;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_STREAMS = 5_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final StreamOriginTable table;
  private final Predicate<String> severalVersions;
  private final Function<StreamOrigin, Optional<SoftwareVersion>> versionOf;
  private final IntSupplier entries;
  private final EventLoop loop;
  private final Clock clock;

  /** The streams that have not been completed, the oldest first. */
  private final Map<String, Stream> streams =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Stream> eldest) {
          return size() > MAX_STREAMS;
        }
      };

  private boolean scheduled;
  private long lastWriteMillis = NEVER;
  private int failures;

  /**
   * Creates a recorder.
   *
   * @param table the table
   * @param severalVersions whether several versions of a service have served lately
   * @param versionOf the version that began a stream
   * @param entries the number of entries
   * @param loop the event loop
   * @param clock monotonic
   */
  StreamOriginRecorder(
      StreamOriginTable table,
      Predicate<String> severalVersions,
      Function<StreamOrigin, Optional<SoftwareVersion>> versionOf,
      IntSupplier entries,
      EventLoop loop,
      Clock clock) {
    this.table = table;
    this.severalVersions = severalVersions;
    this.versionOf = versionOf;
    this.entries = entries;
    this.loop = loop;
    this.clock = clock;
  }

  /** Schedules the deletion of the rows of entries that have ended, which nobody else replaces. */
  void start() {
    long delay =
        SoftwareHistory.RETENTION_MILLIS
            + ThreadLocalRandom.current().nextInt(MAX_CLEANUP_DELAY_MILLIS);
    loop.after(
        delay,
        () ->
            table
                .deleteOlderThan(SoftwareHistory.RETENTION_MILLIS)
                .whenComplete((done, thrown) -> loop.execute(() -> logFailure(thrown))));
  }

  /** Records that an event of a stream was relayed. */
  void begun(String requestId, String service, StreamOrigin origin) {
    streams.put(requestId, new Stream(service, origin, clock.millis()));
    if (severalVersions.test(service)) {
      schedule();
    }
  }

  /** Records that the caller has received a stream completely. */
  void completed(String requestId) {
    streams.remove(requestId);
  }

  /** Called when the versions of a service have changed. */
  void versionsChanged(String service) {
    if (!streams.isEmpty() && severalVersions.test(service)) {
      schedule();
    }
  }

  /** Writes the streams again: the table was restored from a copy. */
  void tableRestored() {
    if (!streams.isEmpty()) {
      schedule();
    }
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      long interval =
          Math.max(MIN_INTERVAL_MILLIS, entries.getAsInt() * MILLIS_PER_SECOND / WRITES_PER_SECOND);
      long due = lastWriteMillis + interval - clock.millis();
      loop.after(Math.max(FIRST_WRITE_DELAY_MILLIS, due), this::write);
    }
  }

  private void write() {
    lastWriteMillis = clock.millis();
    removeExpired();
    Map<String, SoftwareVersion> known = new LinkedHashMap<>();
    streams.forEach(
        (id, stream) -> {
          if (severalVersions.test(stream.service())) {
            versionOf.apply(stream.origin()).ifPresent(version -> known.put(id, version));
          }
        });
    table.write(known).whenComplete((done, thrown) -> loop.execute(() -> written(thrown)));
  }

  private void written(Throwable thrown) {
    scheduled = false;
    logFailure(thrown);
    if (thrown != null) {
      schedule();
    }
  }

  private void removeExpired() {
    long now = clock.millis();
    Iterator<Stream> oldestFirst = streams.values().iterator();
    while (oldestFirst.hasNext()) {
      if (now - oldestFirst.next().atMillis() < SoftwareHistory.RETENTION_MILLIS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private void logFailure(Throwable thrown) {
    if (thrown == null) {
      failures = 0;
    } else if (Integer.bitCount(++failures) == 1) {
      // Logs only at powers of two, so that a long outage does not flood the log.
      EventLog.log(
          EventType.STREAM_ORIGINS_UNWRITTEN,
          "streams",
          streams.size(),
          "failures",
          failures,
          "reason",
          HornbeamusherException.from(thrown).type().label());
    }
  }

  /** A stream that its caller has not received completely. */
  private record Stream(String service, StreamOrigin origin, long atMillis) {}
}
