package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadConcurrencyWindowTest {

  private static final int ENGINES = 14;
  private static final double UNCONGESTED_MILLIS = 250;

  /** The number of loads that the store serves at full speed. */
  private static final int FULL_SPEED_LOADS = 24;

  @Test
  void uncongestedLoadsGrowWindow() {
    LoadConcurrencyWindow window = new LoadConcurrencyWindow(UNCONGESTED_MILLIS);
    for (int i = 0; i < 12; i++) {
      window.loadCompleted(260);
    }
    assertEquals(4, window.size());
  }

  @Test
  void congestedLoadsShrinkWindow() {
    LoadConcurrencyWindow window = new LoadConcurrencyWindow(UNCONGESTED_MILLIS);
    for (int i = 0; i < 12; i++) {
      window.loadCompleted(600);
    }
    assertEquals(1, window.size());
  }

  /** Guards against mistaking a permanently slower store for a congested one. */
  @Test
  void windowAdaptsToSlowerStore() {
    LoadConcurrencyWindow window = new LoadConcurrencyWindow(UNCONGESTED_MILLIS);
    for (int i = 0; i < 150; i++) {
      window.loadCompleted(600);
    }
    assertEquals(4, window.size());
  }

  /**
   * Guards against a congested store after fourteen engines start at once, each with a long queue
   * that begins with the most wanted adapter. Four loads at a time take at least 0.55 s; with the
   * window the first load takes at most 0.3 s, at 90 % or more of the throughput.
   */
  @Test
  void firstLoadIsFastWhenAllEnginesStartAtOnce() {
    Simulation windowed = simulate(new LoadConcurrencyWindow(UNCONGESTED_MILLIS), 3_000);
    Simulation four = simulate(null, 3_000);
    assertTrue(
        windowed.firstMillis <= 300, "first load with the window, ms: " + windowed.firstMillis);
    assertTrue(four.firstMillis >= 550, "first load with four at a time, ms: " + four.firstMillis);
    assertTrue(windowed.loads >= 0.9 * four.loads, windowed.loads + " of " + four.loads);
  }

  private record Simulation(long firstMillis, int loads) {}

  /** Simulates identical engines; each load progresses by its share of the store's bandwidth. */
  private static Simulation simulate(LoadConcurrencyWindow window, int millis) {
    List<double[]> inProgress = new ArrayList<>();
    int loads = 0;
    long first = 0;
    for (int now = 0; now < millis; now++) {
      while (inProgress.size() < (window == null ? 4 : window.size())) {
        inProgress.add(new double[] {now, UNCONGESTED_MILLIS});
      }
      double speed = Math.min(1, (double) FULL_SPEED_LOADS / (ENGINES * inProgress.size()));
      for (double[] load : List.copyOf(inProgress)) {
        load[1] -= speed;
        if (load[1] <= 0) {
          inProgress.remove(load);
          loads++;
          first = first == 0 ? now : first;
          if (window != null) {
            window.loadCompleted(Math.round(now - load[0]));
          }
        }
      }
    }
    return new Simulation(first, loads);
  }
}
