package org.hornbeamusher.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Reads the resource usage of this process. */
final class Probes {

  private static final int COLLECTIONS = 4;
  private static final long SETTLE_MILLIS = 60;
  private static final long BYTES_PER_KIB = 1_024;
  private static final Path STATUS = Path.of("/proc/self/status");

  private Probes() {}

  /** Returns the bytes of live objects: the used heap after garbage collections. */
  static long heapBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      Thread.sleep(SETTLE_MILLIS);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the CPU time of the whole process in nanoseconds. */
  static long processCpuNanos() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return system.getProcessCpuTime();
  }

  /** Returns the CPU time of this thread in nanoseconds. */
  static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the current resident set size of this process in bytes. */
  static long residentBytes() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, e).causedBy(e);
    }
  }

  /** Returns for each repetition the CPU time per run of an operation, in nanoseconds. */
  static double[] cpuNanosPerRun(int repetitions, int runs, Runnable operation) {
    for (int i = 0; i < runs; i++) {
      operation.run();
    }
    double[] each = new double[repetitions];
    for (int repetition = 0; repetition < repetitions; repetition++) {
      long before = threadCpuNanos();
      for (int i = 0; i < runs; i++) {
        operation.run();
      }
      each[repetition] = (threadCpuNanos() - before) / (double) runs;
    }
    return each;
  }
}
