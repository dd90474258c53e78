package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class WeightTransfersTest {

  private final WeightTransfers transfers = new WeightTransfers(500);

  @Test
  void oneTransferAloneTakesTheFullSpeedTime() {
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.advanceTo(499));
    assertEquals(List.of(1L), transfers.advanceTo(500));
  }

  @Test
  void twoConcurrentTransfersTakeLongerThanTwoSequentialOnes() {
    transfers.begin(1, 0);
    transfers.begin(2, 0);
    assertEquals(List.of(), transfers.advanceTo(1_428));
    assertEquals(List.of(1L, 2L), transfers.advanceTo(1_429));
  }

  @Test
  void transferSpeedsUpWhenTheOtherIsDone() {
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.advanceTo(250));
    transfers.begin(2, 250);
    assertEquals(List.of(1L), transfers.advanceTo(1_000));
    assertEquals(List.of(2L), transfers.advanceTo(1_250));
  }

  @Test
  void slowStoreTakesItsFactorLonger() {
    transfers.setSlowdown(4);
    transfers.begin(1, 0);
    assertEquals(List.of(), transfers.advanceTo(1_999));
    assertEquals(List.of(1L), transfers.advanceTo(2_000));
  }
}
