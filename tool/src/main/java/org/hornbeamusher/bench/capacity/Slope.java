package org.hornbeamusher.bench.capacity;

import java.util.Arrays;
import java.util.Locale;

/**
 * What one more of something costs.
 *
 * @param name what is counted
 * @param unit unit of the cost, for example {@code bytes}
 * @param value the median of the repetitions
 * @param low the least of them
 * @param high the greatest of them
 * @param base what is spent at a count of 0; 0 where a figure has no base
 */
record Slope(String name, String unit, double value, double low, double high, double base) {

  /** Takes the median of repeated measurements. */
  static Slope median(String name, String unit, double[] measured) {
    double[] sorted = measured.clone();
    Arrays.sort(sorted);
    return new Slope(
        name, unit, sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1], 0);
  }

  /** Fits a line through repeated measurements at several counts; the spread is that of pairs. */
  static Slope fit(String name, String unit, double[] counts, double[] costs) {
    double meanCount = Arrays.stream(counts).average().orElse(0);
    double meanCost = Arrays.stream(costs).average().orElse(0);
    double above = 0;
    double below = 0;
    for (int i = 0; i < counts.length; i++) {
      above += (counts[i] - meanCount) * (costs[i] - meanCost);
      below += (counts[i] - meanCount) * (counts[i] - meanCount);
    }
    double slope = above / below;
    double low = Double.POSITIVE_INFINITY;
    double high = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < counts.length; i++) {
      for (int j = 0; j < i; j++) {
        if (counts[i] != counts[j]) {
          double between = (costs[i] - costs[j]) / (counts[i] - counts[j]);
          low = Math.min(low, between);
          high = Math.max(high, between);
        }
      }
    }
    return new Slope(name, unit, slope, low, high, meanCost - slope * meanCount);
  }

  /** One line of the report. */
  String line() {
    return String.format(
        Locale.ROOT, "%-46s %12.1f %-11s [%.1f .. %.1f]", name, value, unit, low, high);
  }
}
