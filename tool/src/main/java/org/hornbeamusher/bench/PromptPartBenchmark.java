package org.hornbeamusher.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.PromptPartQuarantine;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures what the quarantine of parts of prompts costs a request that crashes nothing. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PromptPartBenchmark {

  /** A request is checked when it arrives, before it is sent and before its first byte. */
  private static final int CHECKS = 3;

  private static final int FIRST_PARTS = 47_000;
  private static final int SECOND_PARTS = 1_000_000;

  /** Number of parts under which endpoints have crashed. */
  @Param({"0", "100", "10000"})
  public int crashedParts;

  private CrashHistory history;
  private PromptPartQuarantine quarantine;
  private long requests;

  /** Records crashes; a tenth of the parts is quarantined. */
  @Setup
  public void fill() {
    QuarantineSettings settings = QuarantineSettings.WITHOUT_ISOLATION;
    history = new CrashHistory(settings);
    quarantine = new PromptPartQuarantine(settings.crashLimit(), history::openCrashes);
    for (int i = 0; i < crashedParts; i++) {
      for (int crash = 0; crash < (i % 10 == 0 ? settings.crashLimit() : 1); crash++) {
        EndpointId endpoint = new EndpointId("i-" + i + "-" + crash);
        history.recordCrash(
            PromptPartId.of("crashed" + i), new EndpointIncarnation(endpoint, 0), 0);
      }
    }
  }

  /**
   * Checks one request of three parts and records that it was answered.
   *
   * @return the outcome of the last check
   */
  @Benchmark
  public Optional<PromptPartId> request() {
    requests++;
    List<PromptPartId> parts =
        List.of(
            PromptPartId.of(Long.toHexString(0x518d6ce00000L + requests % FIRST_PARTS)),
            PromptPartId.of(Long.toHexString(0x19c55e700000L + requests % SECOND_PARTS)));
    Optional<PromptPartId> refused = Optional.empty();
    if (history.hasOpenParts()) {
      for (int i = 0; i < CHECKS; i++) {
        refused = quarantine.refusedPart(parts, history.quarantined());
      }
    }
    parts.forEach(part -> history.recordSurvival(part, requests));
    return refused;
  }
}
