package org.hornbeamusher.directory;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.transfer.TransferStats;
import org.hornbeamusher.transfer.TransferTimeouts;
import org.hornbeamusher.watch.ChangeFeed;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;
import org.hornbeamusher.watch.TablePage;
import org.hornbeamusher.watch.TableWatch;
import org.hornbeamusher.watch.WatchSettings;

/** Bounds on how long endpoints missing from a list stay in use, for any timing of its reads. */
class MissingEndpointProperties {

  private static final String SEED = "20261203";
  private static final long CONTACT_MILLIS = 3_000;

  /** The time that a request takes to arrive if it is sent at the last moment. */
  private static final long DELIVERY_MILLIS = 100;

  private static final long PAUSE_MILLIS = 700;
  private static final long RETRY_MILLIS = 250;
  private static final long REFRESH_MILLIS = 200;
  private static final TransferTimeouts LIMITS = new TransferTimeouts(450, 450);
  private static final EndpointListSettings SETTINGS =
      new EndpointListSettings(PAUSE_MILLIS, 1_200, CONTACT_MILLIS);

  private final SimulatedLoop loop = new SimulatedLoop();
  private final EndpointDirectory directory = new EndpointDirectory(SETTINGS);

  /**
   * The store is unreachable, or refuses requests, from this time until {@link #outageEndMillis}.
   */
  private long outageStartMillis;

  private long outageEndMillis;
  private boolean refuses;
  private long responseMillis;

  /** The row of the endpoint "b" is missing from this time until {@link #missingUntil}. */
  private long missingFrom;

  private long missingUntil;

  /** Guards against requests to an endpoint that left while this process was disconnected. */
  @Property(seed = SEED)
  void endpointThatLeftIsRemovedWithinTheContactTime(
      @ForAll @LongRange(min = 1_000, max = 1_700) long from,
      @ForAll @LongRange(min = 100, max = 15_000) long lasted,
      @ForAll @IntRange(max = 100) int leftAt,
      @ForAll @LongRange(min = 1, max = 60) long response,
      @ForAll boolean refused) {
    outage(from, lasted, response, refused);
    missingFrom = from + lasted * leftAt / 100;
    missingUntil = Long.MAX_VALUE;
    startWatch();
    loop.runUntil(outageEndMillis + CONTACT_MILLIS - DELIVERY_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("b")).isEmpty(), "still in use");
  }

  /** Guards against removing endpoints whose list entries only expired in an outage. */
  @Property(seed = SEED)
  void endpointWhoseEntryReturnsStaysInUse(
      @ForAll @LongRange(min = 1_000, max = 1_700) long from,
      @ForAll @LongRange(min = 2_400, max = 15_000) long lasted,
      @ForAll @LongRange(min = 0, max = 1_500) long returned,
      @ForAll @LongRange(min = 1, max = 60) long response,
      @ForAll boolean refused) {
    outage(from, lasted, response, refused);
    missingFrom = from + 2_400;
    missingUntil = outageEndMillis + returned;
    startWatch();
    LongStream.iterate(0, at -> at <= outageEndMillis + 6_000, at -> at + 10)
        .forEach(
            at -> {
              loop.runUntil(at);
              boolean used = directory.endpoint(new EndpointId("b")).isPresent();
              assertTrue(used || at < 100, "removed at " + at);
            });
  }

  private void outage(long from, long lasted, long response, boolean refused) {
    outageStartMillis = from;
    outageEndMillis = from + lasted;
    responseMillis = response;
    refuses = refused;
  }

  private void startWatch() {
    directory.servicesChanged(Set.of("s"));
    WatchSettings settings = new WatchSettings(0, PAUSE_MILLIS, RETRY_MILLIS, 2_000);
    TableWatch[] watch = new TableWatch[1];
    watch[0] =
        new TableWatch(
            new Store(),
            "t",
            settings,
            loop,
            loop.clock(),
            new TableWatch.Listener() {
              @Override
              public void received(TableChanges changes, long requestedMillis) {
                listed(changes, requestedMillis, watch[0]);
              }

              @Override
              public void readFailed(long requestedMillis) {
                directory.listReadFailed(requestedMillis);
              }
            });
    watch[0].start();
  }

  private void listed(TableChanges changes, long requestedMillis, TableWatch watch) {
    List<Endpoint> entries = changes.rows().stream().map(row -> endpoint(row.key())).toList();
    long kept =
        directory
            .listReceived(entries, requestedMillis, loop.clock().millis())
            .missing()
            .keptMillis();
    if (kept > 0) {
      loop.after(Math.max(0, kept - REFRESH_MILLIS), watch::refresh);
      loop.after(kept, () -> directory.expire(loop.clock().millis()));
    }
  }

  private static Endpoint endpoint(String id) {
    return new Endpoint(
        new EndpointIncarnation(new EndpointId(id), EndpointIncarnation.UNKNOWN_START),
        "s",
        URI.create("http://127.0.0.1:1"),
        "z",
        1,
        false,
        0,
        Set.of());
  }

  /** The store behind a link; a request that is lost on the link fails after its timeout. */
  private final class Store implements ChangeFeed {

    @Override
    public CompletableFuture<TablePage> page(String table, String after, int failures) {
      CompletableFuture<TablePage> response = new CompletableFuture<>();
      long now = loop.clock().millis();
      boolean lost = now >= outageStartMillis && now < outageEndMillis;
      if (lost) {
        long limit = refuses ? responseMillis : LIMITS.afterFailures(failures).startTimeoutMillis();
        loop.after(limit, () -> response.completeExceptionally(failure()));
      } else {
        TablePage page = new TablePage(rows(now), now, false, TransferStats.NONE);
        loop.after(responseMillis, () -> response.complete(page));
      }
      return response;
    }

    private List<ChangedRow> rows(long now) {
      boolean missing = now >= missingFrom && now < missingUntil;
      return Stream.of("a", "b")
          .filter(id -> !(missing && id.equals("b")))
          .map(id -> new ChangedRow(id, new RowContent.Present(new byte[0], now)))
          .toList();
    }

    private static HornbeamusherException failure() {
      return HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test");
    }

    @Override
    public CompletableFuture<Optional<TableChanges>> since(
        String table, long revision, long waitMillis, int failures) {
      throw new AssertionError("the list must be read in full");
    }
  }
}
