package org.hornbeamusher.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Samples indices with a Zipf distribution: rank k (from 1) has a probability proportional to 1 /
 * k^skew.
 */
final class ZipfSampler {

  private final double[] cumulative;

  ZipfSampler(int ranks, double skew) {
    cumulative = new double[ranks];
    double sum = 0;
    for (int i = 0; i < ranks; i++) {
      sum += Math.pow(i + 1, -skew);
      cumulative[i] = sum;
    }
  }

  /** Returns an index from 0, which is rank - 1. */
  int next(RandomGenerator random) {
    double point = random.nextDouble() * cumulative[cumulative.length - 1];
    int found = Arrays.binarySearch(cumulative, point);
    return Math.min(found >= 0 ? found : -found - 1, cumulative.length - 1);
  }
}
