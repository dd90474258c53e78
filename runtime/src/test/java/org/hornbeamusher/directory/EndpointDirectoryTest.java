package org.hornbeamusher.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamusher.ids.EndpointId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final long READ_MILLIS = 700;

  private final EndpointDirectory directory = new EndpointDirectory();

  @BeforeEach
  void configure() {
    directory.configured(Set.of("s"));
  }

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

  /**
   * Another writer spoils the entry of an endpoint that was leaving. Taken for the endpoint's word,
   * it could bring it back into service while it is about to end.
   */
  @Test
  void leavingEndpointGoesOnLeavingWhenItsEntryIsUnusable() {
    directory.listed(List.of(endpoint("a", true)), 0);
    assertEquals(List.of(), directory.listed(List.of(spoilt("a", "x")), READ_MILLIS).gone());
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  /**
   * A faulty writer spoils every entry. The endpoints are well; without them callers would have
   * nobody.
   */
  @Test
  void endpointsStayInServiceWhenTheirEntriesAreUnusable() {
    listed(0, "a", "b");
    directory.listed(List.of(spoilt("a", "x"), spoilt("b", "x")), READ_MILLIS);
    assertEquals(2, directory.endpoints().size());
    assertEquals(2, directory.unusableEntries());
    assertEquals(List.of("a"), gone(directory.listed(List.of(spoilt("b", "x")), 2 * READ_MILLIS)));
    listed(3 * READ_MILLIS, "b");
    assertEquals(0, directory.unusableEntries());
  }

  /** What holds is the last usable entry, so an endpoint is heard again once its entry is. */
  @Test
  void endpointIsHeardAgainWhenItsEntryIsUsableAgain() {
    listed(0, "a");
    directory.listed(List.of(spoilt("a", "x")), READ_MILLIS);
    assertEquals(
        1, directory.listed(List.of(endpoint("a", true)), 2 * READ_MILLIS).changed().size());
  }

  @Test
  void unusableEntryNamesNoEndpoint() {
    directory.listed(List.of(spoilt("a", "x"), endpoint("b", false)), 0);
    assertEquals(List.of(endpoint("b", false)), directory.endpoints());
  }

  /** The list is read more than once a second; the same fault each time would flood the log. */
  @Test
  void unusableEntryIsNewsOnceForEachReason() {
    assertEquals(1, directory.listed(List.of(spoilt("a", "x")), 0).unusable().size());
    assertEquals(0, directory.listed(List.of(spoilt("a", "x")), READ_MILLIS).unusable().size());
    assertEquals(1, directory.listed(List.of(spoilt("a", "y")), 2 * READ_MILLIS).unusable().size());
    listed(3 * READ_MILLIS, "a");
    assertEquals(1, directory.listed(List.of(spoilt("a", "y")), 4 * READ_MILLIS).unusable().size());
  }

  /**
   * Another writer moves an endpoint to a service that nobody configured. Believed, it would take
   * the endpoint from the callers of its own.
   */
  @Test
  void endpointIsNotMovedToServiceThatIsNotConfigured() {
    listed(0, "a");
    EndpointDirectory.Change change =
        directory.listed(List.of(endpoint("a", "nowhere")), READ_MILLIS);
    assertEquals(1, change.unusable().size());
    assertEquals("s", directory.endpoint(new EndpointId("a")).orElseThrow().service());
  }

  /** The endpoints of a new service are listed before the configuration that names it is read. */
  @Test
  void endpointOfNewServiceIsUsedWithTheConfigurationThatNamesIt() {
    directory.listed(List.of(endpoint("a", "new")), 0);
    assertEquals(List.of(), directory.endpoints());
    assertEquals(1, directory.configured(Set.of("s", "new")).changed().size());
    assertEquals(1, directory.endpoints().size());
  }

  /** A service is dropped while its endpoints live; that they leave must still be heard. */
  @Test
  void endpointOfDroppedServiceIsStillHeard() {
    listed(0, "a");
    directory.configured(Set.of("other"));
    directory.listed(List.of(endpoint("a", true)), READ_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
    assertEquals(0, directory.unusableEntries());
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

  private static UnusableEntry spoilt(String key, String reason) {
    return new UnusableEntry(key, reason, OptionalLong.of(7));
  }

  private static Endpoint endpoint(String id, boolean leaving) {
    return endpoint(id, "s", leaving);
  }

  private static Endpoint endpoint(String id, String service) {
    return endpoint(id, service, false);
  }

  private static Endpoint endpoint(String id, String service, boolean leaving) {
    return new Endpoint(
        new EndpointId(id), service, URI.create("http://10.0.0.1:1"), "z", 1, leaving, Set.of());
  }
}
