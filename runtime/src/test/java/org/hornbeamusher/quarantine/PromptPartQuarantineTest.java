package org.hornbeamusher.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;

class PromptPartQuarantineTest {

  private static final PromptPartId SHARED = PromptPartId.of("a1");
  private static final PromptPartId CAUSE = PromptPartId.of("b2");
  private static final PromptPartId OTHER = PromptPartId.of("c3");
  private static final RequestContent CONTENT = new RequestContent(7, 20);

  private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
  private final PromptPartQuarantine quarantine =
      new PromptPartQuarantine(
          QuarantineSettings.WITHOUT_ISOLATION.crashLimit(), history::openCrashes);

  @Test
  void partIsRefusedFromTheLimitOn() {
    crash(CAUSE, 1, 2);
    assertEquals(Optional.empty(), refused(SHARED, CAUSE));
    crash(CAUSE, 3);
    assertEquals(Optional.of(CAUSE), refused(SHARED, CAUSE));
    assertEquals(Optional.of(CAUSE), refused(CAUSE, OTHER));
    assertEquals(Optional.empty(), refused(SHARED, OTHER));
  }

  /** Guards against refusing all requests with a part that was lost beside the cause only. */
  @Test
  void partBesideTheCauseIsServedWithoutIt() {
    crash(CAUSE, 1, 2, 3, 4, 5);
    crash(SHARED, 1, 2, 3, 4, 5, 6, 7);
    assertEquals(Optional.empty(), refused(SHARED, OTHER));
    assertEquals(Optional.of(CAUSE), refused(SHARED, CAUSE));
  }

  /** Guards against refusing all requests with a part of a request that crashes endpoints. */
  @Test
  void partOfCrashingContentIsServedInOtherRequests() {
    crash(CONTENT, 1, 2, 3);
    crash(SHARED, 1, 2, 3);
    assertEquals(Optional.empty(), refused(SHARED, OTHER));
  }

  /** Guards against a cause that escapes because another part was lost in some of its crashes. */
  @Test
  void causeIsRefusedThoughAnotherPartSharesSomeCrashes() {
    crash(OTHER, 1, 2, 3);
    crash(CAUSE, 1, 2, 3, 4, 5, 6);
    assertEquals(Optional.of(CAUSE), refused(SHARED, CAUSE));
    assertEquals(Optional.empty(), refused(SHARED, OTHER));
  }

  /** Guards against two causes of which each explains the crashes of the other. */
  @Test
  void causesThatWereSentTogetherAreRefusedSeparately() {
    crash(CAUSE, 1, 2, 3);
    crash(OTHER, 1, 2, 3);
    assertEquals(Optional.of(OTHER), refused(CAUSE, OTHER));
    crash(CAUSE, 4, 5, 6);
    crash(OTHER, 7, 8, 9);
    assertEquals(Optional.of(CAUSE), refused(SHARED, CAUSE));
    assertEquals(Optional.of(OTHER), refused(SHARED, OTHER));
  }

  private Optional<PromptPartId> refused(PromptPartId... parts) {
    return quarantine.refusedPart(List.of(parts), history.quarantined());
  }

  private void crash(CrashSuspect suspect, int... endpoints) {
    for (int each : endpoints) {
      EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-" + each), 0);
      history.recordCrash(suspect, endpoint, 0);
    }
  }
}
