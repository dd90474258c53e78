package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class LoadPriorityTest {

  private static final int RANK_BEYOND_SHARE = 5;
  private static final long NOW_MILLIS = 100_000;

  private final List<Reservation> waiting = new ArrayList<>();

  /** Guards against fifteen accounts waiting for the loads of one that has many callers. */
  @Test
  void adaptersOfAccountBeyondItsShareAreLoadedAfterTheOthers() {
    for (int i = 0; i < 40; i++) {
      add("hot", RANK_BEYOND_SHARE, 0, 800);
    }
    add("a", 0, 0, 800);
    add("b", 1, 0, 900);
    assertEquals(List.of("a", "b", "hot"), sorted(LoadPriority.BY_RANK));
    assertEquals(List.of("hot", "a", "b"), sorted(LoadPriority.BY_WAITERS));
  }

  /** Guards against an urgent request with a short target time being refused for the others. */
  @Test
  void urgentRequestsAreLoadedFirst() {
    add("less", 1, 0, 400);
    add("less", 1, 0, 400);
    add("urgent", 0, 0, 800);
    assertEquals(List.of("urgent", "less"), sorted(LoadPriority.BY_RANK));
  }

  /** Guards against the starvation of a request that more urgent ones pass all the time. */
  @Test
  void requestRisesWhileItWaits() {
    add("beyond", RANK_BEYOND_SHARE, 1_500, 500);
    add("urgent", 0, 0, 800);
    assertEquals(List.of("beyond", "urgent"), sorted(LoadPriority.BY_RANK));
  }

  @Test
  void adapterWithMoreEquallyUrgentRequestsIsLoadedFirst() {
    add("one", 0, 0, 400);
    add("two", 0, 0, 800);
    add("two", 0, 0, 800);
    assertEquals(List.of("two", "one"), sorted(LoadPriority.BY_RANK));
  }

  /** Guards against loads for urgent requests that are late, before others that are not. */
  @Test
  void lateRequestsComeLastWhateverTheirRank() {
    add("late", 0, 700, 100);
    add("on-time", 2, 0, 800);
    assertEquals(List.of("on-time", "late"), sorted(LoadPriority.BY_RANK));
  }

  private void add(String adapter, int rank, long waitedMillis, long targetInMillis) {
    waiting.add(
        new Reservation(
            new ReservationId(1, waiting.size()),
            new AdapterVersion(new AdapterKey("m", adapter), 1),
            rank,
            100,
            NOW_MILLIS + 5_000,
            NOW_MILLIS + targetInMillis,
            NOW_MILLIS - waitedMillis));
  }

  private List<String> sorted(LoadPriority priority) {
    return priority.sort(waiting, NOW_MILLIS).stream()
        .map(one -> one.adapter().key().adapter())
        .toList();
  }
}
