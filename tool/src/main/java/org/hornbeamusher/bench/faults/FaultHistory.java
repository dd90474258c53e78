package org.hornbeamusher.bench.faults;

import java.util.Random;
import java.util.stream.LongStream;

/**
 * Draws one history of faults and checks what must always hold.
 *
 * <p>A seed decides everything: which faults occur and how often, when, and what callers and
 * operators do meanwhile. Time is virtual. The decisions and services under test are those of the
 * daemons ({@code ClaimKeeper}, {@code DocumentStore}, {@code DocumentSync}, {@code PeerTable},
 * {@code HeartbeatMonitor}, {@code AnswerAssembler}, {@code AgentScheduler}); only table, network,
 * engine and the processes around them are small fakes.
 *
 * <p>Each history has three parts that share nothing: claims, documents, and dispatch. Towards its
 * end all faults cease, and what must hold once quiet is checked then.
 */
public final class FaultHistory {

  /** Histories drawn at a time; bounds what is kept until they are added up. */
  private static final long CHUNK = 1_000;

  private FaultHistory() {}

  /**
   * Draws and checks one history.
   *
   * @param seed decides the history
   * @param breakage a deliberate defect, or {@link Breakage#NONE}
   * @return what was drawn and what did not hold
   */
  public static HistoryReport draw(long seed, Breakage breakage) {
    HistoryReport report = new HistoryReport();
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    new ClaimHistory(new Timeline(), new Chaos(seed, random, report), breakage).run();
    new DocumentHistory(new Timeline(), new Chaos(seed, random, report), breakage).run();
    new DispatchHistory(new Timeline(), new Chaos(seed, random, report), breakage).run();
    return report;
  }

  /** Draws the part about dispatch alone, for defects that show in few histories. */
  static HistoryReport drawDispatch(long seed, Breakage breakage) {
    HistoryReport report = new HistoryReport();
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    new DispatchHistory(new Timeline(), new Chaos(seed, random, report), breakage).run();
    return report;
  }

  /**
   * Draws and checks many histories, several at a time.
   *
   * @param firstSeed decides the first; the others follow
   * @param count how many
   * @param breakage a deliberate defect, or {@link Breakage#NONE}
   * @return everything that was drawn and did not hold, in order of the seeds
   */
  public static HistoryReport drawMany(long firstSeed, long count, Breakage breakage) {
    HistoryReport total = new HistoryReport();
    for (long done = 0; done < count; done += CHUNK) {
      LongStream.range(firstSeed + done, firstSeed + Math.min(count, done + CHUNK))
          .parallel()
          .mapToObj(seed -> draw(seed, breakage))
          .toList()
          .forEach(total::add);
    }
    return total;
  }
}
