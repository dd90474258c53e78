package org.hornbeamusher.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.sidecar.EngineIncarnationTracker.Verdict;
import org.junit.jupiter.api.Test;

class EngineIncarnationTrackerTest {

  private static final EndpointId ID = new EndpointId("e");

  private final EngineIncarnationTracker tracker = new EngineIncarnationTracker();

  @Test
  void idIsRequestedOncePerIncarnation() {
    assertEquals(Verdict.UNNAMED, report(100, 3));
    assertTrue(tracker.needsId());
    tracker.idReceived(ID);
    assertFalse(tracker.needsId());
    assertEquals(Verdict.NAMED, report(100, 3));
    assertEquals(Verdict.SAME, report(100, 4));
    assertEquals(Optional.of(new EndpointIncarnation(ID, 100)), tracker.current());
  }

  /**
   * Guards against requesting the id again after the same incarnation was unreachable for a while.
   * The request is a health check that is billed and waits for a batch slot behind the requests.
   */
  @Test
  void sameStartAfterOutageIsSameIncarnation() {
    identify(100);
    tracker.markUnreachable();
    assertEquals(Optional.empty(), tracker.current());
    assertEquals(Verdict.SAME, report(100, 3));
    assertFalse(tracker.needsId());
    assertEquals(Optional.of(new EndpointIncarnation(ID, 100)), tracker.current());
  }

  /**
   * The engine restarts under its id so fast that no report is missed, and its count of orders is
   * zero in both incarnations. Only the start time shows the restart.
   */
  @Test
  void differentStartIsNewIncarnation() {
    identify(100);
    assertEquals(Verdict.RESTARTED, report(200, 0));
    assertEquals(Optional.empty(), tracker.current());
    assertTrue(tracker.needsId());
  }

  /** The clock of the instance was set back before the engine restarted. */
  @Test
  void earlierStartIsNewIncarnation() {
    identify(100);
    assertEquals(Verdict.RESTARTED, report(50, 0));
    tracker.idReceived(ID);
    assertEquals(Verdict.NAMED, report(50, 0));
    assertEquals(Optional.of(new EndpointIncarnation(ID, 50)), tracker.current());
  }

  /**
   * Guards against assigning an id to the wrong incarnation, to which entries would then send. The
   * engine restarts under another id between a report and the request for its id.
   */
  @Test
  void idReceivedDuringRestartIsRequestedAgain() {
    report(100, 3);
    tracker.idReceived(ID);
    assertEquals(Verdict.UNNAMED, report(200, 0));
    assertTrue(tracker.needsId());
    tracker.idReceived(new EndpointId("other"));
    assertEquals(Verdict.NAMED, report(200, 0));
    assertEquals(new EndpointId("other"), tracker.current().orElseThrow().id());
  }

  /** An engine that states no start time: only its count of orders shows the restart. */
  @Test
  void decreasedOrderCountIsNewIncarnation() {
    report(EndpointIncarnation.UNKNOWN_START, 3);
    tracker.idReceived(ID);
    report(EndpointIncarnation.UNKNOWN_START, 3);
    assertEquals(Verdict.COUNT_RESET, report(EndpointIncarnation.UNKNOWN_START, 0));
    assertTrue(tracker.needsId());
  }

  /** An engine without a start time may have restarted while it was unreachable. */
  @Test
  void outageWithoutStartTimeRequiresIdRequest() {
    report(EndpointIncarnation.UNKNOWN_START, 0);
    tracker.idReceived(ID);
    report(EndpointIncarnation.UNKNOWN_START, 0);
    tracker.markUnreachable();
    assertEquals(Verdict.UNNAMED, report(EndpointIncarnation.UNKNOWN_START, 0));
  }

  /** The engine refuses an order because it has another id, under the same start time. */
  @Test
  void refutedIdIsRequestedAgain() {
    identify(100);
    tracker.idRefuted();
    assertEquals(Verdict.UNNAMED, report(100, 0));
  }

  private void identify(long start) {
    report(start, 0);
    tracker.idReceived(ID);
    report(start, 0);
  }

  private Verdict report(long start, long sequence) {
    return tracker.recordReport(
        new EngineReport(Set.of(), Map.of(), Set.of(), false, sequence, false, start));
  }
}
