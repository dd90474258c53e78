package org.hornbeamusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LoadPermitsTest {

  private static final int WINDOW = 1;

  private final LoadPermits permits = new LoadPermits();

  @Test
  void withoutCoordinatorTheOwnWindowDecides() {
    assertTrue(permits.mayLoad(0, WINDOW, 0));
    assertFalse(permits.mayLoad(WINDOW, WINDOW, 0));
    assertEquals(Optional.empty(), permits.dueRequest(0));
  }

  @Test
  void eachPermitAllowsOneLoad() {
    choose();
    want(1, 0);
    assertFalse(permits.mayLoad(0, WINDOW, 0));
    assertEquals(new StoreLoadDemand(1, 1), permits.dueRequest(0).orElseThrow().demand());
    respond(true, 1, 10);
    assertTrue(permits.mayLoad(3, WINDOW, 10));
    permits.loadStarted();
    assertFalse(permits.mayLoad(1, WINDOW, 10));
    assertEquals(1, permits.dueRequest(10).orElseThrow().usedPermits());
  }

  /** Guards against a fifth load, which the engine refuses. */
  @Test
  void permitDoesNotExceedTheEngine() {
    choose();
    want(1, 0);
    respond(true, 1, 0);
    assertFalse(permits.mayLoad(LoadPermitAllocator.MAX_LOADS_PER_ENGINE, WINDOW, 0));
  }

  @Test
  void oldPermitIsNotUsed() {
    choose();
    want(1, 0);
    respond(true, 1, 0);
    want(1, LoadPermitAllocator.PERMIT_LIFETIME_MILLIS);
    assertFalse(permits.mayLoad(0, WINDOW, LoadPermitAllocator.PERMIT_LIFETIME_MILLIS));
  }

  /** Guards against a coordinator that responds and never grants anything. */
  @Test
  void loadBeginsWithoutPermitAfterLongWait() {
    choose();
    want(1, 0);
    respond(true, 0, 0);
    assertFalse(permits.mayLoad(0, WINDOW, LoadPermits.MIN_GUARD_MILLIS - 1));
    assertTrue(permits.mayLoad(0, WINDOW, LoadPermits.MIN_GUARD_MILLIS));
    assertFalse(permits.mayLoad(1, WINDOW, LoadPermits.MIN_GUARD_MILLIS));
  }

  @Test
  void unansweredRequestShowsSilentCoordinator() {
    choose();
    want(1, 0);
    permits.dueRequest(0);
    assertFalse(permits.coordinatorSilent(LoadPermits.RESPONSE_TIMEOUT_MILLIS - 1));
    assertTrue(permits.coordinatorSilent(LoadPermits.RESPONSE_TIMEOUT_MILLIS));
    respond(true, 0, 50);
    assertFalse(permits.coordinatorSilent(10 * LoadPermits.RESPONSE_TIMEOUT_MILLIS));
  }

  @Test
  void responseOfAnEarlierEpochIsIgnored() {
    choose();
    choose();
    permits.received(new LoadPermitResponse(1, false, 5, 0, 24), 0);
    assertEquals(LoadPermits.Mode.PACED, permits.mode());
    assertFalse(permits.mayLoad(0, WINDOW, 0));
  }

  /** Guards against engines that restart together and load as if they were the only one. */
  @Test
  void engineThatBecomesReadyNeedsPermits() {
    choose();
    respond(false, 0, 0);
    assertTrue(permits.mayLoad(0, WINDOW, 0));
    permits.engineReady();
    assertFalse(permits.mayLoad(0, WINDOW, 0));
    assertTrue(permits.dueRequest(0).isPresent());
  }

  @Test
  void nothingIsSentWhileNoPermitsAreNeeded() {
    choose();
    permits.dueRequest(0);
    respond(false, 0, 0);
    want(1, 10);
    permits.loadCompleted(300);
    assertEquals(Optional.empty(), permits.dueRequest(1_000));
  }

  private void choose() {
    permits.coordinatorChosen();
  }

  private void want(int adapters, long now) {
    permits.updateDemand(new StoreLoadDemand(adapters, 1), now);
  }

  private void respond(boolean paced, long granted, long now) {
    permits.received(new LoadPermitResponse(1, paced, granted, 0, 24), now);
  }
}
