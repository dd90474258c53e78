package org.hornbeamusher.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;

class PathQuarantineTest {

  private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);
  private static final PathContent PATH = PathContent.of("/a/b", Optional.empty(), BODY);
  private static final RequestContent ONE_QUERY = new RequestContent(7, BODY.length);
  private static final long HOUR_MILLIS = 60 * 60_000;

  private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
  private final PathQuarantine quarantine = new PathQuarantine(history::openCrashes);

  @Test
  void pathIsRefusedIfNoSingleContentExplainsItsCrashes() {
    crash(PATH, 0, 3);
    assertTrue(refuses(PATH));
  }

  /** Guards against refusing every query of a path for the one that crashes endpoints. */
  @Test
  void pathIsServedIfOneContentExplainsAllButOneOfItsCrashes() {
    crash(PATH, 0, 4);
    crash(ONE_QUERY, 0, 3);
    assertFalse(refuses(PATH));
    crash(PATH, 4, 5);
    assertTrue(refuses(PATH));
  }

  /** Guards against two paths that excuse each other. */
  @Test
  void anotherPathExplainsNothing() {
    PathContent other = PathContent.of("/other", Optional.empty(), BODY);
    crash(PATH, 0, 3);
    crash(other, 0, 3);
    assertTrue(refuses(PATH));
    assertTrue(refuses(other));
  }

  /** Guards against a part of prompts that is served because its requests share a path. */
  @Test
  void pathDoesNotExplainThePart() {
    PromptPartId part = PromptPartId.of("dead");
    crash(part, 0, 3);
    crash(PATH, 0, 3);
    PromptPartQuarantine parts = new PromptPartQuarantine(3, history::openCrashes);
    assertEquals(Optional.of(part), parts.refusedPart(List.of(part), history.quarantined()));
  }

  /** Guards against a wrong verdict about what many requests share that does not end. */
  @Test
  void quarantineOfPathEndsOneHourAfterItsLastCrash() {
    crash(PATH, 0, 3);
    history.removeExpired(HOUR_MILLIS - 1);
    assertTrue(refuses(PATH));
    history.removeExpired(HOUR_MILLIS);
    assertFalse(refuses(PATH));
  }

  @Test
  void identityIsThePathTheAccountAndTheBody() {
    assertEquals(PATH, PathContent.of("/a/b", Optional.empty(), BODY.clone()));
    assertNotEquals(PATH, PathContent.of("/a/c", Optional.empty(), BODY));
    assertNotEquals(PATH, PathContent.of("/a/b", Optional.of("t1"), BODY));
    assertNotEquals(PATH, PathContent.of("/a/b", Optional.empty(), new byte[4]));
    assertEquals(Optional.of(PATH), CrashSuspect.parse(PATH.toString()));
  }

  private boolean refuses(PathContent path) {
    return quarantine.refuses(path, history.quarantined());
  }

  private void crash(CrashSuspect suspect, int from, int to) {
    for (int i = from; i < to; i++) {
      history.recordCrash(suspect, new EndpointIncarnation(new EndpointId("e-" + i), 0), 0);
    }
  }
}
