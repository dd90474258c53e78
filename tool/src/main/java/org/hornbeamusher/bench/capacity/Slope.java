package org.hornbeamusher.bench.capacity;

import java.util.Arrays;
import java.util.Locale;

/**
 * The marginal cost of one more item.
 *
 * @param name the item
 * @param unit unit of the cost, for example {@code bytes}
 * @param value the median of the repetitions, or the slope of the fitted line
 * @param low the minimum of the repetitions or of the pairwise slopes
 * @param high the maximum of the repetitions or of the pairwise slopes
 * @param base the cost at a count of 0; 0 for a median
 */
record Slope(String name, String unit, double value, double low, double high, double base) {

  /** Returns the median of repeated measurements, with their range. */
  static Slope median(String name, String unit, double[] measured) {
    double[] sorted = measured.clone();
    Arrays.sort(sorted);
    return new Slope(
        name, unit, sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1], 0);
  }

  /**
   * Fits a least-squares line to measurements at several counts; the range is that of the slopes
   * between pairs of measurements.
   */
  static Slope fit(String name, String unit, double[] counts, double[] costs) {
    double meanCount = Arrays.stream(counts).average().orElse(0);
    double meanCost = Arrays.stream(costs).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < counts.length; i++) {
      covariance += (counts[i] - meanCount) * (costs[i] - meanCost);
      variance += (counts[i] - meanCount) * (counts[i] - meanCount);
    }
    double slope = covariance / variance;
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

  /** Returns the line of the report. */
  String line() {
    return String.format(
        Locale.ROOT, "%-46s %12.1f %-11s [%.1f .. %.1f]", name, value, unit, low, high);
  }
}
