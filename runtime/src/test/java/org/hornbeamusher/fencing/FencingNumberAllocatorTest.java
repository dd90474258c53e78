package org.hornbeamusher.fencing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class FencingNumberAllocatorTest {

  private final InMemoryTable table = new InMemoryTable();

  @Test
  void numbersIncreaseFromAgentToAgent() {
    assertEquals(1, acquire("one", 0));
    assertEquals(2, acquire("two", 1));
    assertEquals(3, acquire("three", 0));
  }

  /**
   * An agent that started while the table was down used a number that is not in the row. The next
   * agent must still get a higher one.
   */
  @Test
  void numbersUsedDuringAnOutageAreNotReused() {
    acquire("one", 0);
    assertEquals(7, acquire("two", 6));
  }

  /** Guards against the same number for two agents of one endpoint that start at once. */
  @Test
  void agentsThatStartTogetherGetDifferentNumbers() {
    table.beforeNextCommit(() -> acquire("other", 0));
    assertEquals(2, acquire("one", 0));
  }

  /** The response to a write that took effect is lost; no number may be skipped or reused. */
  @Test
  void lostResponsesAreResolvedByReadingBack() {
    table.loseResponses(1);
    assertEquals(1, acquire("one", 0));
    assertEquals(2, acquire("two", 0));
  }

  /** The agent continues without the table, so it must be able to recognise an outage. */
  @Test
  void outageFailsAsPlatformUnavailable() {
    table.down(true);
    HornbeamusherException failure =
        HornbeamusherException.from(
            assertThrows(CompletionException.class, () -> acquire("one", 0)));
    assertEquals(FailureType.PLATFORM_UNAVAILABLE, failure.type());
  }

  private long acquire(String holder, long seenByEngine) {
    return new FencingNumberAllocator(table, new EndpointId("e-1"), holder)
        .acquire(seenByEngine)
        .join()
        .value();
  }
}
