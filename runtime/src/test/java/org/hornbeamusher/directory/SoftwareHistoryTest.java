package org.hornbeamusher.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;
import org.junit.jupiter.api.Test;

class SoftwareHistoryTest {

  private static final long AGE_MILLIS = 10_000;

  private final SoftwareHistory history = new SoftwareHistory();

  /** Guards against taking what serves now for what served when a stream began. */
  @Test
  void versionOfRemovedEndpointCountsForItsAge() {
    history.listReceived(0);
    Endpoint former = endpoint("a", "v1");
    Endpoint latter = endpoint("b", "v2");
    history.changed(former, 0);
    history.changed(latter, 0);
    history.removed(former, 20_000);
    List<Endpoint> current = List.of(latter);
    assertEquals(Set.of("v1", "v2"), history.versions("s", current, AGE_MILLIS, 29_999));
    assertEquals(Set.of("v2"), history.versions("s", current, AGE_MILLIS, 30_000));
    assertEquals(Optional.of(new SoftwareVersion("v1")), history.versionOf(former.incarnation()));
  }

  /** Guards against a version that an endpoint had before it restarted under the same id. */
  @Test
  void versionBeforeRestartUnderTheSameIdCountsForItsAge() {
    history.listReceived(0);
    history.changed(endpoint("a", "v1"), 0);
    Endpoint restarted = endpoint("a", "v2");
    history.changed(restarted, 20_000);
    assertEquals(Set.of("v1", "v2"), history.versions("s", List.of(restarted), AGE_MILLIS, 20_000));
  }

  @Test
  void historyCoversItsAge() {
    assertFalse(history.covers(AGE_MILLIS, AGE_MILLIS));
    for (long now = 0; now < AGE_MILLIS; now += 1_000) {
      history.listReceived(now);
    }
    assertFalse(history.covers(AGE_MILLIS, AGE_MILLIS - 1));
    assertTrue(history.covers(AGE_MILLIS, AGE_MILLIS));
  }

  /** Guards against forgetting the version of an endpoint that has restarted and is not listed. */
  @Test
  void versionBeforeRestartCountsWhileTheNextIncarnationIsNotListed() {
    history.listReceived(0);
    Endpoint restarted = endpoint("a", "v1");
    Endpoint other = endpoint("b", "v2");
    history.changed(restarted, 0);
    history.changed(other, 0);
    Endpoint next = restarted.restartedAt(5);
    history.changed(next, 20_000);
    assertEquals(
        Set.of("v1", "v2"), history.versions("s", List.of(next, other), AGE_MILLIS, 20_000));
  }

  /** Guards against a version that came and went while the list could not be read. */
  @Test
  void historyDoesNotCoverTimeWithoutList() {
    for (long now = 0; now <= AGE_MILLIS; now += 1_000) {
      history.listReceived(now);
    }
    assertTrue(history.covers(AGE_MILLIS, AGE_MILLIS));
    assertFalse(history.covers(AGE_MILLIS, AGE_MILLIS + 5_000), "no list for 5 s");
    history.listReceived(AGE_MILLIS + 5_000);
    assertFalse(history.covers(AGE_MILLIS, AGE_MILLIS + 5_000), "no list for 5 s before");
  }

  @Test
  void versionOfUnlistedIncarnationIsNotKnown() {
    Endpoint listed = endpoint("a", "v1");
    assertTrue(history.allKnown("s", List.of(listed)));
    assertFalse(history.allKnown("s", List.of(listed, endpoint("b", "v1").restartedAt(5))));
    assertTrue(history.allKnown("other", List.of(endpoint("b", "v1").restartedAt(5))));
  }

  private static Endpoint endpoint(String id, String software) {
    return new Endpoint(
        new EndpointIncarnation(new EndpointId(id), 0),
        "s",
        URI.create("http://127.0.0.1:1"),
        "z",
        1,
        false,
        0,
        Set.of(),
        Optional.of(new SoftwareVersion(software)));
  }
}
