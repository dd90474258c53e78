package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadWindowTest {

  private static final int ENGINES = 14;
  private static final double ALONE = 250;

  /** The number of loads that the store serves at full speed. */
  private static final int FULL_SPEED = 24;

  @Test
  void loadsThatAreAsFastAsAloneOpenTheWindow() {
    LoadWindow window = new LoadWindow(ALONE);
    for (int i = 0; i < 12; i++) {
      window.loaded(260);
    }
    assertEquals(4, window.size());
  }

  @Test
  void loadsThatShareTheWayCloseIt() {
    LoadWindow window = new LoadWindow(ALONE);
    for (int i = 0; i < 12; i++) {
      window.loaded(600);
    }
    assertEquals(1, window.size());
  }

  /** Guards against mistaking a permanently slower store for a congested one. */
  @Test
  void slowerStoreIsLearnt() {
    LoadWindow window = new LoadWindow(ALONE);
    for (int i = 0; i < 150; i++) {
      window.loaded(600);
    }
    assertEquals(4, window.size());
  }

  /**
   * Guards against a congested store after fourteen engines start at once, each with a long queue
   * that begins with the most wanted adapter. Four loads at a time take at least 0.55 s; with the
   * window the first load takes at most 0.3 s, at 90 % or more of the throughput.
   */
  @Test
  void whatIsWantedMostArrivesSoonWhenAllEnginesStartAtOnce() {
    Played windowed = play(new LoadWindow(ALONE), 3_000);
    Played four = play(null, 3_000);
    assertTrue(
        windowed.firstMillis <= 300, "first load with the window, ms: " + windowed.firstMillis);
    assertTrue(four.firstMillis >= 550, "first load with four at a time, ms: " + four.firstMillis);
    assertTrue(windowed.loads >= 0.9 * four.loads, windowed.loads + " of " + four.loads);
  }

  private record Played(long firstMillis, int loads) {}

  /** Simulates identical engines; each load progresses by its share of the store's bandwidth. */
  private static Played play(LoadWindow window, int millis) {
    List<double[]> underWay = new ArrayList<>();
    int loads = 0;
    long first = 0;
    for (int now = 0; now < millis; now++) {
      while (underWay.size() < (window == null ? 4 : window.size())) {
        underWay.add(new double[] {now, ALONE});
      }
      double speed = Math.min(1, (double) FULL_SPEED / (ENGINES * underWay.size()));
      for (double[] load : List.copyOf(underWay)) {
        load[1] -= speed;
        if (load[1] <= 0) {
          underWay.remove(load);
          loads++;
          first = first == 0 ? now : first;
          if (window != null) {
            window.loaded(Math.round(now - load[0]));
          }
        }
      }
    }
    return new Played(first, loads);
  }
}
