package org.hornbeamusher.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamusher.ids.EndpointId;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final long READ_MILLIS = 700;

  private final EndpointDirectory directory = new EndpointDirectory();

  @Test
  void endpointThatIsNoLongerListedIsGone() {
    listed(0, "a", "b");
    assertEquals(List.of("b"), gone(listed(READ_MILLIS, "a")));
    assertEquals(1, directory.endpoints().size());
  }

  /**
   * The store was away and the entries of living endpoints lapsed with it. Taken at its word, the
   * first list after its return would take every endpoint out of service.
   */
  @Test
  void lapsedEntriesHaveTimeToReturnAfterAnOutage() {
    listed(0, "a", "b");
    assertEquals(List.of(), gone(listed(10_000)));
    assertEquals(List.of(), gone(listed(10_000 + READ_MILLIS, "a")));
    assertEquals(2, directory.endpoints().size());
  }

  /** What is still missing when the time for its return is over is gone. */
  @Test
  void entryThatDoesNotReturnAfterAnOutageIsGone() {
    listed(0, "a", "b");
    listed(10_000, "a");
    long over = 10_000 + EndpointDirectory.RETURN_MILLIS;
    for (long now = 10_000 + READ_MILLIS; now < over; now += READ_MILLIS) {
      assertEquals(List.of(), gone(listed(now, "a")));
    }
    assertEquals(List.of("b"), gone(listed(over, "a")));
  }

  /** A list that was read before another one may arrive after it; leaving is never taken back. */
  @Test
  void leavingEndpointDoesNotReturnToService() {
    directory.listed(List.of(endpoint("a", true)), 0);
    directory.listed(List.of(endpoint("a", false)), READ_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  @Test
  void unchangedEndpointIsNoNews() {
    assertEquals(1, listed(0, "a").changed().size());
    assertEquals(0, listed(READ_MILLIS, "a").changed().size());
  }

  @Test
  void ageCountsFromTheLastList() {
    listed(100, "a");
    assertEquals(50, directory.ageMillis(150));
  }

  private EndpointDirectory.Change listed(long now, String... ids) {
    return directory.listed(Stream.of(ids).map(id -> endpoint(id, false)).toList(), now);
  }

  private static List<String> gone(EndpointDirectory.Change change) {
    return change.gone().stream().map(endpoint -> endpoint.id().value()).toList();
  }

  private static Endpoint endpoint(String id, boolean leaving) {
    return new Endpoint(
        new EndpointId(id), "s", URI.create("http://10.0.0.1:1"), "z", 1, leaving, Set.of());
  }
}
