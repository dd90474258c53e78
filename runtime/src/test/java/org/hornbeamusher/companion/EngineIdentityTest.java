package org.hornbeamusher.companion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.companion.EngineIdentity.Verdict;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.junit.jupiter.api.Test;

class EngineIdentityTest {

  private static final EndpointId ID = new EndpointId("e");

  private final EngineIdentity identity = new EngineIdentity();

  @Test
  void idIsAskedForOnceInEachLife() {
    assertEquals(Verdict.UNNAMED, report(100, 3));
    assertTrue(identity.needsName());
    identity.named(ID);
    assertFalse(identity.needsName());
    assertEquals(Verdict.NAMED, report(100, 3));
    assertEquals(Verdict.SAME, report(100, 4));
    assertEquals(Optional.of(new EndpointLife(ID, 100)), identity.current());
  }

  /**
   * Guards against requesting the id again after the same incarnation was unreachable for a while.
   * The request is a health check that is billed and waits for a batch slot behind the requests.
   */
  @Test
  void engineThatWasSilentIsKnownByItsStart() {
    known(100);
    identity.lost();
    assertEquals(Optional.empty(), identity.current());
    assertEquals(Verdict.SAME, report(100, 3));
    assertFalse(identity.needsName());
    assertEquals(Optional.of(new EndpointLife(ID, 100)), identity.current());
  }

  /**
   * The engine restarts under its id so fast that no report is missed, and its count of orders is
   * zero in both incarnations. Only the start time shows the restart.
   */
  @Test
  void anotherStartIsAnotherLife() {
    known(100);
    assertEquals(Verdict.RESTARTED, report(200, 0));
    assertEquals(Optional.empty(), identity.current());
    assertTrue(identity.needsName());
  }

  /** The clock of the instance was set back before the engine restarted. */
  @Test
  void earlierStartIsAnotherLifeToo() {
    known(100);
    assertEquals(Verdict.RESTARTED, report(50, 0));
    identity.named(ID);
    assertEquals(Verdict.NAMED, report(50, 0));
    assertEquals(Optional.of(new EndpointLife(ID, 50)), identity.current());
  }

  /**
   * Guards against assigning an id to the wrong incarnation, to which entries would then send. The
   * engine restarts under another id between a report and the request for its id.
   */
  @Test
  void idThatWasGivenInBetweenLivesIsAskedForAgain() {
    report(100, 3);
    identity.named(ID);
    assertEquals(Verdict.UNNAMED, report(200, 0));
    assertTrue(identity.needsName());
    identity.named(new EndpointId("other"));
    assertEquals(Verdict.NAMED, report(200, 0));
    assertEquals(new EndpointId("other"), identity.current().orElseThrow().id());
  }

  /** An engine that states no start time: only its count of orders shows the restart. */
  @Test
  void countOfOrdersThatGoesBackShowsAnotherLife() {
    report(EndpointLife.UNKNOWN_START, 3);
    identity.named(ID);
    report(EndpointLife.UNKNOWN_START, 3);
    assertEquals(Verdict.COUNT_RESET, report(EndpointLife.UNKNOWN_START, 0));
    assertTrue(identity.needsName());
  }

  /** An engine without a start time may have restarted while it was unreachable. */
  @Test
  void silenceWithoutStartMayHideAnotherLife() {
    report(EndpointLife.UNKNOWN_START, 0);
    identity.named(ID);
    report(EndpointLife.UNKNOWN_START, 0);
    identity.lost();
    assertEquals(Verdict.UNNAMED, report(EndpointLife.UNKNOWN_START, 0));
  }

  /** The engine refuses an order because it has another id, under the same start time. */
  @Test
  void refutedIdIsAskedForAgain() {
    known(100);
    identity.refuted();
    assertEquals(Verdict.UNNAMED, report(100, 0));
  }

  private void known(long start) {
    report(start, 0);
    identity.named(ID);
    report(start, 0);
  }

  private Verdict report(long start, long sequence) {
    return identity.reported(
        new EngineReport(Set.of(), Map.of(), Set.of(), false, sequence, false, start));
  }
}
