package org.hornbeamusher.bench.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import org.hornbeamusher.bench.Benchmark;
import org.hornbeamusher.events.LogSetup;

/** Measures marginal costs on this machine and estimates the cost at the expected scale. */
public final class CapacityBenchmark implements Benchmark {

  private static final double MIB = 1_024.0 * 1_024;

  /** Creates the benchmark. */
  public CapacityBenchmark() {}

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "slopes of memory, processor, traffic and table calls; the letter's size worked out";
  }

  @Override
  public int run(List<String> arguments) {
    PrintStream out = System.out;
    LogSetup.toStandardError(Level.SEVERE);
    try {
      long base = Probes.residentBytes();
      long baseHeap = Probes.heapBytes();
      out.printf(
          Locale.ROOT,
          "this JVM before anything: %.1f MiB of memory, %.1f MiB of it live objects%n",
          base / MIB,
          baseHeap / MIB);
      List<Slope> slopes = new ArrayList<>();
      slopes.addAll(MemorySlopes.measure());
      slopes.addAll(CpuSlopes.measure());
      slopes.addAll(ConnectionSlopes.measure());
      out.println("measured slopes: one more costs (median or fit) [least .. greatest]");
      slopes.forEach(slope -> out.println("  " + slope.line()));
      Topology topology = Topology.plan();
      out.println("connections at the letter's size: " + topology);
      FrameSizes frames = FrameSizes.measure();
      out.println("bytes on the wire, with TCP and IP headers: " + frames);
      TableCounts table = TableCounts.measure();
      out.println("calls of the table, counted by the stand-in: " + table);
      new CapacityEstimate(out, slopes, topology, frames, table).print();
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }
}
