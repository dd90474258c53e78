package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.LongConsumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.accounts.Quota;
import org.hornbeamusher.accounts.QuotaUnit;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaState;
import org.hornbeamusher.quota.QuotaView;
import org.hornbeamusher.quota.UsageCoverage;
import org.junit.jupiter.api.Test;

/** How many lines about quotas are written. */
class QuotaLogTest {

  private static final AccountName ACCOUNT = new AccountName("a");
  private static final int SECONDS = 5;
  private static final int LINES_PER_SECOND = 4;

  private final QuotaLog log = new QuotaLog();

  /** Guards against a line for each request or refund of an account that exceeds its quota. */
  @Test
  void linesOfOneAccountAreLimited() {
    QuotaDecision.Admitted admitted =
        new QuotaDecision.Admitted(
            new QuotaCharge(ACCOUNT, 10, 0),
            new QuotaState(400, 400, 1_000, 10, 2, 2, 5, UsageCoverage.COMPLETE, true));
    ClientAccount account =
        new ClientAccount(ACCOUNT, OptionalInt.empty(), new Quota(QuotaUnit.TOKENS, 100, 200, 200));
    assertEquals(
        2 * SECONDS,
        lines(
            now -> {
              log.admitted("id", account, admitted, 1, List::of, now);
              log.remoteUsageDecreased(ACCOUNT, "relay", 7, now);
            }));
  }

  /** Guards against a line for each change of an entry whose relays come and go. */
  @Test
  void linesOfViewThatChangesOftenAreLimited() {
    QuotaViewLog views = new QuotaViewLog();
    assertEquals(
        LINES_PER_SECOND * SECONDS, lines(now -> views.observed(view(now % 20 == 0), now)));
  }

  /** Guards against a loss of relays that no line shows because the number of entries stays. */
  @Test
  void changeOfRelaysIsLogged() {
    QuotaViewLog views = new QuotaViewLog();
    QuotaView before = view(true);
    QuotaView after =
        new QuotaView(UsageCoverage.COMPLETE, 21, 21, 0, false, 38, 2, List.of("r3", "r4"), 10, 30);
    assertEquals(2, lines(now -> views.observed(now < 500 ? before : after, now)));
  }

  /** Guards against a line for each update although nothing has changed. */
  @Test
  void unchangedViewIsLoggedOnce() {
    QuotaViewLog views = new QuotaViewLog();
    assertEquals(1, lines(now -> views.observed(view(true), now)));
  }

  private static QuotaView view(boolean complete) {
    return complete
        ? new QuotaView(
            UsageCoverage.COMPLETE, 21, 21, 0, true, 40, 2, List.of("r1", "r2"), 9_000, 30)
        : new QuotaView(UsageCoverage.ISOLATED, 1, 21, 20, false, 38, 0, List.of(), -1, 900);
  }

  /** Returns how many lines an action writes that is repeated every 10 ms. */
  private static int lines(LongConsumer action) {
    List<LogRecord> lines = new ArrayList<>();
    Handler handler = new Collector(lines);
    Logger events = Logger.getLogger(EventLog.class.getName());
    Level level = events.getLevel();
    events.setLevel(Level.INFO);
    events.addHandler(handler);
    try {
      for (long now = 0; now < SECONDS * 1_000; now += 10) {
        action.accept(now);
      }
    } finally {
      events.removeHandler(handler);
      events.setLevel(level);
    }
    return lines.size();
  }

  private static final class Collector extends Handler {

    private final List<LogRecord> lines;

    Collector(List<LogRecord> lines) {
      this.lines = lines;
      setLevel(Level.ALL);
    }

    @Override
    public void publish(LogRecord line) {
      lines.add(line);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
