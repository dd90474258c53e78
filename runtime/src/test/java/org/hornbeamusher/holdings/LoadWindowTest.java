package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadWindowTest {

  private static final int ENGINES = 14;
  private static final double ALONE = 250;

  /** How many loads the store serves at full speed. */
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

  /** A store that has become slower for good is not taken for a crowded one for ever. */
  @Test
  void slowerStoreIsLearnt() {
    LoadWindow window = new LoadWindow(ALONE);
    for (int i = 0; i < 150; i++) {
      window.loaded(600);
    }
    assertEquals(4, window.size());
  }

  /**
   * Fourteen engines start at once, each with a long line of adapters. The first of each line is
   * what most callers wait for. Loaded four at a time they all arrive after more than half a
   * second; with the window they are there after little more than a quarter, and the store is kept
   * as busy.
   */
  @Test
  void whatIsWantedMostArrivesSoonWhenAllEnginesStartAtOnce() {
    Played windowed = play(new LoadWindow(ALONE), 3_000);
    Played four = play(null, 3_000);
    assertTrue(windowed.firstMillis <= 300, "first after " + windowed.firstMillis);
    assertTrue(four.firstMillis >= 550, "first after " + four.firstMillis);
    assertTrue(windowed.loads >= 0.9 * four.loads, windowed.loads + " of " + four.loads);
  }

  private record Played(long firstMillis, int loads) {}

  /** All engines do the same; a share of the store's way is what a load advances by. */
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
