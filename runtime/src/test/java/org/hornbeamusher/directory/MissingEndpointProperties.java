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
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.transfer.Transfer;
import org.hornbeamusher.transfer.TransferLimits;
import org.hornbeamusher.watch.ChangeFeed;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.Changes;
import org.hornbeamusher.watch.Page;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableWatch;
import org.hornbeamusher.watch.WatchSettings;

/** How long endpoints that a list lacks stay in use, over all that happens on the way of a list. */
class MissingEndpointProperties {

  private static final String SEED = "20261203";
  private static final long CONTACT_MILLIS = 3_000;

  /** A request that is sent at the last moment is on its way for so long. */
  private static final long WAY_MILLIS = 100;

  private static final long PAUSE_MILLIS = 700;
  private static final long RETRY_MILLIS = 250;
  private static final long REFRESH_MILLIS = 200;
  private static final TransferLimits LIMITS = new TransferLimits(450, 450);
  private static final ListSettings SETTINGS =
      new ListSettings(PAUSE_MILLIS, 1_200, CONTACT_MILLIS);

  private final SimulatedLoop loop = new SimulatedLoop();
  private final EndpointDirectory directory = new EndpointDirectory(SETTINGS);

  /** The store neither answers nor is reached from here until there. */
  private long awayFrom;

  private long awayUntil;
  private boolean refuses;
  private long answerMillis;

  /** The row of the endpoint "b" is missing in what is read from here until there. */
  private long missingFrom;

  private long missingUntil;

  /** Guards against a request to an endpoint that left while this process was cut off. */
  @Property(seed = SEED)
  void endpointThatLeftIsRemovedWithinTheContactTime(
      @ForAll @LongRange(min = 1_000, max = 1_700) long from,
      @ForAll @LongRange(min = 100, max = 15_000) long lasted,
      @ForAll @IntRange(max = 100) int leftAt,
      @ForAll @LongRange(min = 1, max = 60) long answer,
      @ForAll boolean refused) {
    away(from, lasted, answer, refused);
    missingFrom = from + lasted * leftAt / 100;
    missingUntil = Long.MAX_VALUE;
    follow();
    loop.runUntil(awayUntil + CONTACT_MILLIS - WAY_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("b")).isEmpty(), "still in use");
  }

  /** Guards against endpoints that are dropped though their entries only lapsed in an outage. */
  @Property(seed = SEED)
  void endpointWhoseEntryReturnsStaysInUse(
      @ForAll @LongRange(min = 1_000, max = 1_700) long from,
      @ForAll @LongRange(min = 2_400, max = 15_000) long lasted,
      @ForAll @LongRange(min = 0, max = 1_500) long returned,
      @ForAll @LongRange(min = 1, max = 60) long answer,
      @ForAll boolean refused) {
    away(from, lasted, answer, refused);
    missingFrom = from + 2_400;
    missingUntil = awayUntil + returned;
    follow();
    LongStream.iterate(0, at -> at <= awayUntil + 6_000, at -> at + 10)
        .forEach(
            at -> {
              loop.runUntil(at);
              boolean used = directory.endpoint(new EndpointId("b")).isPresent();
              assertTrue(used || at < 100, "dropped at " + at);
            });
  }

  private void away(long from, long lasted, long answer, boolean refused) {
    awayFrom = from;
    awayUntil = from + lasted;
    answerMillis = answer;
    refuses = refused;
  }

  private void follow() {
    directory.configured(Set.of("s"));
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
              public void received(Changes changes, long askedMillis) {
                listed(changes, askedMillis, watch[0]);
              }

              @Override
              public void unanswered(long askedMillis) {
                directory.unanswered(askedMillis);
              }
            });
    watch[0].start();
  }

  private void listed(Changes changes, long askedMillis, TableWatch watch) {
    List<Endpoint> entries = changes.rows().stream().map(row -> endpoint(row.key())).toList();
    long kept =
        directory.listed(entries, askedMillis, loop.clock().millis()).absence().keptMillis();
    if (kept > 0) {
      loop.after(Math.max(0, kept - REFRESH_MILLIS), watch::refresh);
      loop.after(kept, () -> directory.expire(loop.clock().millis()));
    }
  }

  private static Endpoint endpoint(String id) {
    return new Endpoint(
        new EndpointLife(new EndpointId(id), EndpointLife.UNKNOWN_START),
        "s",
        URI.create("http://127.0.0.1:1"),
        "z",
        1,
        false,
        0,
        Set.of());
  }

  /** The store at the end of a link; what is lost on the link ends by its limit. */
  private final class Store implements ChangeFeed {

    @Override
    public CompletableFuture<Page> page(String table, String after, int failures) {
      CompletableFuture<Page> answer = new CompletableFuture<>();
      long now = loop.clock().millis();
      boolean lost = now >= awayFrom && now < awayUntil;
      if (lost) {
        long limit = refuses ? answerMillis : LIMITS.afterFailures(failures).beginMillis();
        loop.after(limit, () -> answer.completeExceptionally(failure()));
      } else {
        Page page = new Page(rows(now), now, false, Transfer.NONE);
        loop.after(answerMillis, () -> answer.complete(page));
      }
      return answer;
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
    public CompletableFuture<Optional<Changes>> since(
        String table, long revision, long waitMillis, int failures) {
      throw new AssertionError("the list is read whole");
    }
  }
}
