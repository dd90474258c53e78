package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class WeightTransfersTest {

  private final WeightTransfers transfers = new WeightTransfers(500);

  @Test
  void oneTransferAloneTakesTheFullSpeedTime() {
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.completed(499));
    assertEquals(List.of(1L), transfers.completed(500));
  }

  @Test
  void twoAtOnceTakeLongerThanOneAfterTheOther() {
    transfers.begin(1, 0);
    transfers.begin(2, 0);
    assertEquals(List.of(), transfers.completed(1_428));
    assertEquals(List.of(1L, 2L), transfers.completed(1_429));
  }

  @Test
  void transferSpeedsUpWhenTheOtherIsDone() {
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.completed(250));
    transfers.begin(2, 250);
    assertEquals(List.of(1L), transfers.completed(1_000));
    assertEquals(List.of(2L), transfers.completed(1_250));
  }

  @Test
  void slowStoreTakesItsFactorLonger() {
    transfers.slowdown(4);
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.completed(1_999));
    assertEquals(List.of(1L), transfers.completed(2_000));
  }
}
