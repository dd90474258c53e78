package org.hornbeamusher.bench.faults;

import java.util.Random;
import java.util.stream.LongStream;

/**
 * Simulates histories with randomly drawn faults and checks the {@linkplain Invariant invariants}.
 *
 * <p>The seed determines which faults occur, how often and when, and what callers and operators do.
 * Time is virtual. The decisions and services under test are those of the daemons ({@code
 * ClaimStore}, {@code DocumentStore}, {@code DocumentSync}, {@code PeerTable}, {@code
 * HeartbeatMonitor}, {@code ResponseAssembler}, {@code AgentScheduler}); the table, the network,
 * the engine and the processes around them are fakes.
 *
 * <p>Each history has three independent parts: claims, documents and dispatch. Towards the end of
 * each part all faults stop, and the invariants of the steady state are checked.
 */
public final class FaultHistory {

  /** Histories per parallel chunk; bounds the reports held in memory until they are merged. */
  private static final long CHUNK = 1_000;

  private FaultHistory() {}

  /**
   * Simulates and checks one history.
   *
   * @param seed determines the history
   * @param defect a deliberate defect, or {@link InjectedDefect#NONE}
   * @return the faults that occurred and the invariants that were violated
   */
  public static HistoryReport draw(long seed, InjectedDefect defect) {
    HistoryReport report = new HistoryReport();
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    new ClaimHistory(new Timeline(), new FaultInjector(seed, random, report), defect).run();
    new DocumentHistory(new Timeline(), new FaultInjector(seed, random, report), defect).run();
    new DispatchHistory(new Timeline(), new FaultInjector(seed, random, report), defect).run();
    return report;
  }

  /** Simulates only the dispatch part, for defects that few histories reveal. */
  static HistoryReport drawDispatch(long seed, InjectedDefect defect) {
    HistoryReport report = new HistoryReport();
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    new DispatchHistory(new Timeline(), new FaultInjector(seed, random, report), defect).run();
    return report;
  }

  /**
   * Simulates and checks many histories in parallel.
   *
   * @param firstSeed seed of the first history; the others use the following numbers
   * @param count number of histories
   * @param defect a deliberate defect, or {@link InjectedDefect#NONE}
   * @return the merged reports, in the order of the seeds
   */
  public static HistoryReport drawMany(long firstSeed, long count, InjectedDefect defect) {
    HistoryReport total = new HistoryReport();
    for (long done = 0; done < count; done += CHUNK) {
      LongStream.range(firstSeed + done, firstSeed + Math.min(count, done + CHUNK))
          .parallel()
          .mapToObj(seed -> draw(seed, defect))
          .toList()
          .forEach(total::add);
    }
    return total;
  }
}
