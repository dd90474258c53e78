package org.hornbeamusher.fencing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class FencingLeaseTest {

  private final InMemoryTable table = new InMemoryTable();

  @Test
  void numbersRiseFromAgentToAgent() {
    assertEquals(1, acquire("one", 0));
    assertEquals(2, acquire("two", 1));
    assertEquals(3, acquire("three", 0));
  }

  /**
   * An agent started while the table was down and went on above what the engine had seen. The row
   * does not know its number; the next agent must still get a higher one.
   */
  @Test
  void numbersUsedDuringAnOutageAreNotGivenAgain() {
    acquire("one", 0);
    assertEquals(7, acquire("two", 6));
  }

  /** Two agents of one endpoint start at once; the second reads what the first wrote. */
  @Test
  void agentsThatStartTogetherGetDifferentNumbers() {
    table.beforeNextCommit(() -> acquire("other", 0));
    assertEquals(2, acquire("one", 0));
  }

  /** The answer to the write is lost after it took effect; no number is skipped or taken twice. */
  @Test
  void lostAnswersAreSettledByReadingBack() {
    table.loseAnswers(1);
    assertEquals(1, acquire("one", 0));
    assertEquals(2, acquire("two", 0));
  }

  /** The table is down; the agent is told so and goes on without it. */
  @Test
  void outagesFailTyped() {
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
