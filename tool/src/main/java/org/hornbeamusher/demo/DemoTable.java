package org.hornbeamusher.demo;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamusher.load.LoadReport;
import org.hornbeamusher.standin.EngineCounts;
import org.hornbeamusher.standin.EngineStandin;

/** Prints the outcomes of each service's requests as a table. */
final class DemoTable {

  private static final double MICROS_PER_MILLI = 1e3;
  private static final double PERCENT = 100;

  private DemoTable() {}

  static void print(PrintStream out, Deployment deployment, Map<String, LoadReport> reports) {
    out.printf(
        "%-14s %8s %8s %8s %8s %10s %10s %10s %6s%n",
        "service",
        "requests",
        "answered",
        "not run",
        "failed",
        "total p95",
        "stall p50",
        "stall p95",
        "batch");
    reports.forEach((service, report) -> row(out, deployment, service, report));
    reports.forEach((service, report) -> failures(out, service, report));
  }

  private static void row(
      PrintStream out, Deployment deployment, String service, LoadReport report) {
    out.printf(
        "%-14s %8d %8d %8d %8d %7.1f ms %7.1f ms %7.1f ms %6s%n",
        service,
        report.requests(),
        report.answered(),
        report.refusedCount(),
        report.failedCount(),
        report.total().getValueAtPercentile(95) / MICROS_PER_MILLI,
        report.loadStall().getValueAtPercentile(50) / MICROS_PER_MILLI,
        report.loadStall().getValueAtPercentile(95) / MICROS_PER_MILLI,
        batchUtilisation(deployment, service));
  }

  private static void failures(PrintStream out, String service, LoadReport report) {
    new TreeMap<>(report.refused())
        .forEach((type, n) -> out.printf("  %s: not run, %s: %d%n", service, type, n));
    new TreeMap<>(report.failed())
        .forEach(
            (type, n) -> out.printf("  %s: failed after its start, %s: %d%n", service, type, n));
    report.examples().forEach(example -> out.printf("  %s: %s%n", service, example));
  }

  /**
   * Returns the batch utilisation of a service's engines: the percentage of batch slots filled,
   * averaged over their steps.
   */
  private static String batchUtilisation(Deployment deployment, String service) {
    long steps = 0;
    long filled = 0;
    for (var entry : deployment.engines().entrySet()) {
      if (entry.getKey().value().startsWith(service)) {
        EngineStandin engine = entry.getValue();
        EngineCounts counts = engine.counts();
        steps += counts.steps();
        filled += counts.batchSum();
      }
    }
    return steps == 0
        ? "-"
        : String.format("%.0f%%", PERCENT * filled / (steps * deployment.batchCapacity()));
  }
}
