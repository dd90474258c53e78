package org.hornbeamusher.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {

  @Test
  void newRequestIsRefusedBeyondTheCapacity() {
    MemoryBudget budget = new MemoryBudget(100);
    MemoryReservation first = budget.tryReserve(60).orElseThrow();
    assertEquals(Optional.empty(), budget.tryReserve(41));
    assertFalse(first.tryExtend(41));
    assertTrue(first.tryExtend(40));
    first.release();
    assertEquals(0, budget.usedBytes());
  }

  /** Guards against a response that is dropped because other requests use the memory. */
  @Test
  void responsesAreCountedBeyondTheCapacity() {
    MemoryBudget budget = new MemoryBudget(100);
    MemoryReservation held = budget.tryReserve(10).orElseThrow();
    held.setResponseBytes(200);
    assertEquals(210, budget.usedBytes());
    assertTrue(budget.isScarce());
    assertEquals(Optional.empty(), budget.tryReserve(1));
    held.setResponseBytes(0);
    assertFalse(budget.isScarce());
  }

  /** Guards against memory that is never given back, or twice. */
  @Property(seed = "20261205")
  void releasedReservationsLeaveNothing(
      @ForAll List<@IntRange(min = 0, max = 50) Integer> requests,
      @ForAll List<@IntRange(min = 0, max = 50) Integer> responses) {
    MemoryBudget budget = new MemoryBudget(500);
    List<MemoryReservation> held = new ArrayList<>();
    requests.forEach(bytes -> budget.tryReserve(bytes).ifPresent(held::add));
    for (int i = 0; i < Math.min(held.size(), responses.size()); i++) {
      held.get(i).setResponseBytes(responses.get(i));
      held.get(i).tryExtend(responses.get(i));
    }
    held.forEach(MemoryReservation::release);
    held.forEach(
        released -> {
          released.setResponseBytes(10);
          released.release();
        });
    assertEquals(0, budget.usedBytes());
  }
}
