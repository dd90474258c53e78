package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaState;
import org.junit.jupiter.api.Test;

/** How many lines about quotas are written. */
class QuotaLogTest {

  private static final AccountName ACCOUNT = new AccountName("a");
  private static final int SECONDS = 5;

  private final QuotaLog log = new QuotaLog();

  /** Guards against a line for each request or refund of an account that exceeds its quota. */
  @Test
  void linesOfOneAccountAreLimited() {
    List<LogRecord> lines = new ArrayList<>();
    Handler handler = new Collector(lines);
    Logger events = Logger.getLogger(EventLog.class.getName());
    Level level = events.getLevel();
    events.setLevel(Level.INFO);
    events.addHandler(handler);
    try {
      QuotaDecision.Admitted admitted =
          new QuotaDecision.Admitted(
              new QuotaCharge(ACCOUNT, 10, 0), new QuotaState(400, 400, 1_000, 10, 2, 2, 5));
      for (long now = 0; now < SECONDS * 1_000; now += 10) {
        log.admitted("id", admitted, 1, now);
        log.remoteUsageDecreased(ACCOUNT, "relay", 7, now);
      }
    } finally {
      events.removeHandler(handler);
      events.setLevel(level);
    }
    assertEquals(2 * SECONDS, lines.size());
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
