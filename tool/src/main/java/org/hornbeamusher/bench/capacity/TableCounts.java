package org.hornbeamusher.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.hornbeamusher.claims.Claim;
import org.hornbeamusher.claims.ClaimResult;
import org.hornbeamusher.claims.ClaimSettings;
import org.hornbeamusher.claims.ClaimStore;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.DocumentSync;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.documents.PollPlan;
import org.hornbeamusher.documents.Principal;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.standin.PlatformStandin;
import org.hornbeamusher.standin.PlatformStandinSettings;
import org.hornbeamusher.table.HttpTable;
import org.hornbeamusher.table.Table;

/**
 * Number of table calls of each operation of a process, counted by the simulated platform.
 *
 * @param poll an entry polls for newer documents and finds none
 * @param change an entry polls and reads one changed document
 * @param submit an operator submits a change
 * @param claim a claim of a non-repeatable request, from acquiring to finishing
 */
record TableCounts(Calls poll, Calls change, Calls submit, Calls claim) {

  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int CLAIMS = 50;
  private static final PartnerId PARTNER = new PartnerId("tawhiti");

  /**
   * Numbers of reads and writes.
   *
   * @param reads number of reads and scans
   * @param writes number of transactions
   */
  record Calls(double reads, double writes) {

    private Calls over(int count) {
      return new Calls(reads / count, writes / count);
    }
  }

  static TableCounts measure() {
    Clock clock = SystemClock.INSTANCE;
    PlatformStandin platform = new PlatformStandin(PlatformStandinSettings.of(0, List.of()), clock);
    HttpClient http = new HttpClient(1);
    platform.start();
    http.start();
    try {
      return new Measurement(platform, new HttpTable(http, platform.uri(), TIMEOUT_MILLIS), clock)
          .all();
    } finally {
      http.stop();
      platform.stop();
    }
  }

  private record Measurement(PlatformStandin platform, Table table, Clock clock) {

    TableCounts all() {
      DocumentStore store = new DocumentStore(table, clock, () -> UUID.randomUUID().toString());
      DocumentSync sync =
          new DocumentSync(
              new LatestDocuments(),
              store,
              clock,
              PollPlan.STANDARD,
              () -> 1,
              RandomGenerator.getDefault());
      Principal author = new Principal(PARTNER, new TeamId("valuations"));
      Calls submit = calls(() -> store.submit("x", Samples.text(5), 0, author));
      Calls change = calls(sync::poll);
      Calls poll = calls(sync::poll);
      ClaimStore keeper =
          new ClaimStore(
              table,
              ClaimSettings.DEFAULT,
              clock,
              () -> new ClaimToken(UUID.randomUUID().toString()));
      Calls claims =
          calls(
              () -> {
                for (int i = 0; i < CLAIMS; i++) {
                  claim(keeper, i);
                }
                return CompletableFuture.completedFuture(null);
              });
      return new TableCounts(poll, change, submit, claims.over(CLAIMS));
    }

    private void claim(ClaimStore keeper, int number) {
      long now = clock.millis();
      ClaimResult result =
          keeper
              .claim(
                  new ServiceName("tradedesk-app"),
                  key(now, number),
                  "fingerprint",
                  now + Duration.ofMinutes(1).toMillis())
              .join();
      if (!(result instanceof ClaimResult.Acquired won)) {
        throw HornbeamusherException.notRun(FailureType.INTERNAL, "the claim was not won");
      }
      Claim claim = won.claim();
      keeper.finish(claim, Outcome.RAN, Optional.empty()).join();
    }

    /** Returns a version 7 UUID, whose first 48 bits are the time in milliseconds. */
    private static IdempotencyKey key(long now, int number) {
      long high = now << 16 | 0x7000L | number;
      return new IdempotencyKey(new UUID(high, 0x8000_0000_0000_0000L | number).toString());
    }

    private Calls calls(java.util.function.Supplier<CompletableFuture<?>> action) {
      PlatformStandin.Counts before = platform.counts();
      action.get().join();
      PlatformStandin.Counts after = platform.counts();
      return new Calls(after.reads() - before.reads(), after.writes() - before.writes());
    }
  }
}
