package org.hornbeamusher.bench.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaultHistoryTest {

  private static final int HISTORIES_PER_TRY = 20;
  private static final int DEFECT_HISTORIES = 40;
  private static final int RARE_DEFECT_HISTORIES = 1_500;

  /**
   * Guards all invariants against slow or unavailable tables, lost responses, paused or crashed
   * processes, delayed, duplicated or lost messages, engine crashes, concurrent operators and
   * draining agents, singly and combined. Callers and operators may notice nothing but explicit
   * refusals.
   */
  @Property(seed = "51", tries = 70)
  void invariantsHoldInEveryHistory(@ForAll("firstSeeds") long firstSeed) {
    HistoryReport report = FaultHistory.drawMany(firstSeed, HISTORIES_PER_TRY, InjectedDefect.NONE);

    assertEquals(List.of(), report.violations());
  }

  @Provide
  Arbitrary<Long> firstSeeds() {
    return Arbitraries.longs().between(1_000_000, 1_000_000_000);
  }

  /** Proves that each check can fail: it must detect the defect that it guards against. */
  @ParameterizedTest
  @CsvSource({
    "CONDITIONS_IGNORED, RUN_TWICE",
    "CONDITIONS_IGNORED, CHANGE_LOST",
    "NOT_RUN_GUESSED, NOT_RUN_BUT_RAN",
    "ENDS_FORGOTTEN, RESEND_BARRED",
    "LAST_DOCUMENT_WINS, DOCUMENT_REVERTED",
    "DOCUMENTS_NOT_PULLED, DOCUMENTS_DIFFER",
    "LEAVING_IGNORED, WORK_FOR_LEAVING",
    "LOSS_NOT_SETTLED, ANSWERS_NOT_ONE",
    "PARTS_UNORDERED, ANSWER_NOT_OWN",
    "ADAPTER_IGNORED, WRONG_ADAPTER",
    "PIN_IGNORED, EVICTED_WHILE_PINNED"
  })
  void injectedDefectIsDetected(InjectedDefect defect, Invariant invariant) {
    HistoryReport report = FaultHistory.drawMany(1, DEFECT_HISTORIES, defect);

    assertTrue(report.violationsOf(invariant) > 0, () -> "found only " + report.violations());
  }

  /**
   * An engine restarts and executes a load order before its agent notices the restart, and a
   * request starts on the adapter. Notified of the restart only then, the agent drops the pin and
   * evicts the adapter in use. The combination is rare, so many histories are simulated.
   */
  @Test
  void restartNoticedAfterLoadIsDetected() {
    long violations =
        LongStream.range(0, RARE_DEFECT_HISTORIES)
            .parallel()
            .map(
                seed ->
                    FaultHistory.drawDispatch(seed, InjectedDefect.RESTART_NOTICED_LATE)
                        .violationsOf(Invariant.EVICTED_WHILE_PINNED))
            .sum();

    assertTrue(violations > 0);
  }

  @ParameterizedTest
  @CsvSource({"7", "8"})
  void sameSeedDrawsTheSameHistory(long seed) {
    HistoryReport first = FaultHistory.draw(seed, InjectedDefect.NONE);
    HistoryReport second = FaultHistory.draw(seed, InjectedDefect.NONE);

    assertEquals(first.faults(), second.faults());
    assertEquals(first.checked(), second.checked());
  }

  @ParameterizedTest
  @CsvSource("1")
  void everyFaultOccursAndEveryInvariantIsChecked(long firstSeed) {
    HistoryReport report = FaultHistory.drawMany(firstSeed, DEFECT_HISTORIES, InjectedDefect.NONE);

    Set<Fault> drawn =
        report.faults().entrySet().stream()
            .filter(entry -> entry.getValue() > 0)
            .map(Map.Entry::getKey)
            .collect(Collectors.toCollection(() -> EnumSet.noneOf(Fault.class)));
    assertEquals(EnumSet.allOf(Fault.class), drawn);
    assertEquals(EnumSet.allOf(Invariant.class), report.checked().keySet());
  }
}
