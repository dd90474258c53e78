package org.hornbeamusher.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final long READ_MILLIS = 700;
  private static final EndpointId A = new EndpointId("a");

  private static final long RENEWAL_MILLIS = 1_200;
  private static final long CONTACT_MILLIS = 3_000;
  private static final EndpointListSettings SETTINGS =
      new EndpointListSettings(READ_MILLIS, RENEWAL_MILLIS, CONTACT_MILLIS);

  /** How long endpoints that are missing from a list are kept. */
  private static final long GRACE_MILLIS = SETTINGS.graceMillis();

  private final EndpointDirectory directory = new EndpointDirectory(SETTINGS);

  @BeforeEach
  void configure() {
    directory.servicesChanged(Set.of("s"));
  }

  @Test
  void endpointThatIsNoLongerListedIsRemoved() {
    listed(0, "a", "b");
    assertEquals(List.of("b"), gone(listed(READ_MILLIS, "a")));
    assertEquals(1, directory.endpoints().size());
  }

  /**
   * Guards against removing all endpoints after an outage of the store, in which the list entries
   * of live endpoints expire.
   */
  @Test
  void endpointsWithExpiredEntriesAreKeptAfterAnOutage() {
    listed(0, "a", "b");
    assertEquals(List.of(), gone(listed(10_000)));
    assertEquals(List.of(), gone(listed(10_000 + READ_MILLIS, "a")));
    assertEquals(2, directory.endpoints().size());
  }

  /** An endpoint that is still missing when the grace period ends must be removed. */
  @Test
  void endpointThatDoesNotReturnAfterAnOutageIsRemoved() {
    listed(0, "a", "b");
    listed(10_000, "a");
    long over = 10_000 + GRACE_MILLIS;
    for (long now = 10_000 + READ_MILLIS; now < over; now += READ_MILLIS) {
      assertEquals(List.of(), gone(listed(now, "a")));
    }
    assertEquals(List.of("b"), gone(listed(over, "a")));
  }

  /**
   * Guards against a grace period that is extended by the time until the first response and by the
   * time until the next list.
   */
  @Test
  void graceBeginsAtTheLastRequestWithoutResponseAndEndsByTheClock() {
    listed(0, "a", "b");
    directory.listReadFailed(9_100);
    EndpointDirectory.Change back = listed(10_000, "a");
    assertEquals(9_100 + GRACE_MILLIS - 10_000, back.missing().keptMillis());
    listed(10_000 + 2 * READ_MILLIS, "a");
    assertEquals(List.of(), gone(directory.expire(9_099 + GRACE_MILLIS)));
    assertEquals(List.of("b"), gone(directory.expire(9_100 + GRACE_MILLIS)));
  }

  /** Guards against removing endpoints because the process was suspended. */
  @Test
  void graceBeginsAtTheRequestAfterThePauseOfProcess() {
    listed(0, "a", "b");
    directory.listReadFailed(100);
    assertEquals(GRACE_MILLIS - 1_000, listed(10_000, "a").missing().keptMillis());
    listed(20_000, "a", "b");
    assertEquals(GRACE_MILLIS, listed(30_000, "a").missing().keptMillis());
  }

  /** Guards against treating one lost response as an outage in which entries expire. */
  @Test
  void endpointIsRemovedAtOnceAfterGapInWhichNoEntryCanExpire() {
    listed(0, "a", "b");
    directory.listReadFailed(READ_MILLIS);
    assertEquals(List.of("b"), gone(listed(SETTINGS.minExpiryGapMillis(), "a")));
  }

  /** Guards against removing endpoints by a list that was read before another outage. */
  @Test
  void endpointIsKeptWhenNoListsArriveBeforeTheGraceIsOver() {
    listed(0, "a", "b");
    listed(10_000, "a");
    assertEquals(List.of(), gone(directory.expire(10_000 + GRACE_MILLIS)));
    directory.listReadFailed(14_000);
    listed(14_500, "a");
    listed(14_500 + 2 * READ_MILLIS, "a");
    assertEquals(List.of("b"), gone(directory.expire(14_000 + GRACE_MILLIS)));
  }

  /** Guards against removing an endpoint that has returned to the list. */
  @Test
  void endpointThatReturnedToTheListIsKept() {
    listed(0, "a", "b");
    listed(10_000, "a");
    assertTrue(directory.missing(new EndpointId("b")));
    listed(10_000 + 2 * READ_MILLIS, "a", "b");
    assertEquals(List.of(), gone(directory.expire(10_000 + GRACE_MILLIS)));
  }

  /** Guards against treating a slow transfer of the list as an outage of the store. */
  @Test
  void endpointThatIsNoLongerListedIsRemovedThoughTheListTookLongToArrive() {
    listed(0, "a", "b");
    assertEquals(List.of("b"), gone(listed(READ_MILLIS, READ_MILLIS + 2_000, "a")));
  }

  /** Guards against a list that was requested before all entries were back and arrives later. */
  @Test
  void listRequestedTooSoonAfterAnOutageRemovesNothing() {
    listed(0, "a", "b");
    listed(10_000, "a");
    long requested = 10_000 + GRACE_MILLIS - 100;
    assertEquals(List.of(), gone(listed(requested, requested + 1_000, "a")));
  }

  /** Guards against measuring the age of a list from its arrival. */
  @Test
  void ageOfTheListCountsFromItsRequest() {
    listed(1_000, 3_000, "a");
    assertEquals(2_500, directory.ageMillis(3_500));
  }

  /** Guards against a stale list, which may arrive after a newer one, that undoes leaving. */
  @Test
  void leavingEndpointDoesNotReturnToService() {
    directory.listReceived(List.of(endpoint("a", true)), 0, 0);
    directory.listReceived(List.of(endpoint("a", false)), READ_MILLIS, READ_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  /**
   * Guards against an endpoint that returns to service shortly before its end, because another
   * writer has made the entry of the leaving endpoint unusable.
   */
  @Test
  void leavingEndpointIsStillLeavingWhenItsEntryIsUnusable() {
    directory.listReceived(List.of(endpoint("a", true)), 0, 0);
    assertEquals(
        List.of(),
        directory.listReceived(List.of(unusable("a", "x")), READ_MILLIS, READ_MILLIS).removed());
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  /**
   * Guards against a faulty writer that makes all entries unusable and so removes all endpoints.
   */
  @Test
  void endpointsStayInServiceWhenTheirEntriesAreUnusable() {
    listed(0, "a", "b");
    directory.listReceived(
        List.of(unusable("a", "x"), unusable("b", "x")), READ_MILLIS, READ_MILLIS);
    assertEquals(2, directory.endpoints().size());
    assertEquals(2, directory.unusableEntries());
    assertEquals(
        List.of("a"),
        gone(
            directory.listReceived(List.of(unusable("b", "x")), 2 * READ_MILLIS, 2 * READ_MILLIS)));
    listed(3 * READ_MILLIS, "b");
    assertEquals(0, directory.unusableEntries());
  }

  /** Changes of an endpoint must be applied again once its entry is usable again. */
  @Test
  void endpointIsUpdatedWhenItsEntryIsUsableAgain() {
    listed(0, "a");
    directory.listReceived(List.of(unusable("a", "x")), READ_MILLIS, READ_MILLIS);
    assertEquals(
        1,
        directory
            .listReceived(List.of(endpoint("a", true)), 2 * READ_MILLIS, 2 * READ_MILLIS)
            .changed()
            .size());
  }

  @Test
  void unusableEntryAddsNoEndpoint() {
    directory.listReceived(List.of(unusable("a", "x"), endpoint("b", false)), 0, 0);
    assertEquals(List.of(endpoint("b", false)), directory.endpoints());
  }

  /** Guards against flooding the log: the list is read more than once a second. */
  @Test
  void unusableEntryIsReportedOnceForEachReason() {
    assertEquals(1, directory.listReceived(List.of(unusable("a", "x")), 0, 0).unusable().size());
    assertEquals(
        0,
        directory
            .listReceived(List.of(unusable("a", "x")), READ_MILLIS, READ_MILLIS)
            .unusable()
            .size());
    assertEquals(
        1,
        directory
            .listReceived(List.of(unusable("a", "y")), 2 * READ_MILLIS, 2 * READ_MILLIS)
            .unusable()
            .size());
    listed(3 * READ_MILLIS, "a");
    assertEquals(
        1,
        directory
            .listReceived(List.of(unusable("a", "y")), 4 * READ_MILLIS, 4 * READ_MILLIS)
            .unusable()
            .size());
  }

  /**
   * Guards against another writer that moves an endpoint to a service that is not configured, and
   * so removes it from its own service.
   */
  @Test
  void endpointIsNotMovedToServiceThatIsNotConfigured() {
    listed(0, "a");
    EndpointDirectory.Change change =
        directory.listReceived(List.of(endpoint("a", "nowhere")), READ_MILLIS, READ_MILLIS);
    assertEquals(1, change.unusable().size());
    assertEquals("s", directory.endpoint(new EndpointId("a")).orElseThrow().service());
  }

  /** The endpoints of a new service are listed before the configuration that names it is read. */
  @Test
  void endpointOfNewServiceIsUsedWithTheConfigurationThatNamesIt() {
    directory.listReceived(List.of(endpoint("a", "new")), 0, 0);
    assertEquals(List.of(), directory.endpoints());
    assertEquals(1, directory.servicesChanged(Set.of("s", "new")).changed().size());
    assertEquals(1, directory.endpoints().size());
  }

  /** An endpoint that outlives its service's configuration must still be able to leave. */
  @Test
  void endpointOfRemovedServiceIsStillUpdated() {
    listed(0, "a");
    directory.servicesChanged(Set.of("other"));
    directory.listReceived(List.of(endpoint("a", true)), READ_MILLIS, READ_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
    assertEquals(0, directory.unusableEntries());
  }

  @Test
  void unchangedEndpointIsNotReported() {
    assertEquals(1, listed(0, "a").changed().size());
    assertEquals(0, listed(READ_MILLIS, "a").changed().size());
  }

  @Test
  void ageCountsFromTheLastList() {
    listed(100, "a");
    assertEquals(50, directory.ageMillis(150));
  }

  private EndpointDirectory.Change listed(long now, String... ids) {
    return listed(now, now, ids);
  }

  private EndpointDirectory.Change listed(long requested, long now, String... ids) {
    return directory.listReceived(
        Stream.of(ids).map(id -> endpoint(id, false)).toList(), requested, now);
  }

  private static List<String> gone(EndpointDirectory.Change change) {
    return change.removed().stream().map(endpoint -> endpoint.id().value()).toList();
  }

  private static UnusableEntry unusable(String key, String reason) {
    return new UnusableEntry(key, reason, OptionalLong.of(7));
  }

  /**
   * Guards against an engine that announced that it was leaving, restarted under the same id and
   * then got no requests for as long as the entry process ran.
   */
  @Test
  void laterIncarnationOfLeavingEndpointIsInService() {
    directory.listReceived(List.of(incarnation(100, true)), 0, 0);
    EndpointDirectory.Change change =
        directory.listReceived(List.of(incarnation(200, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(incarnation(200, false), current());
    assertEquals(List.of(incarnation(100, true).incarnation()), change.ended());
  }

  /**
   * Guards against a late list entry of the former incarnation. Applying it would end all running
   * requests and bring back adapters that the engine has lost.
   */
  @Test
  void lateEntryOfFormerIncarnationChangesNothing() {
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    directory.listReceived(List.of(incarnation(200, false)), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change late =
        directory.listReceived(List.of(incarnation(100, true)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(new EndpointDirectory.Change(List.of(), List.of(), List.of(), List.of()), late);
    assertEquals(incarnation(200, false), current());
  }

  /**
   * Guards against taking the greater start time as the newer one. If a machine's clock is set back
   * before its endpoint restarts, the ended incarnation would stay current.
   */
  @Test
  void laterIncarnationIsCurrentAfterClockWasSetBack() {
    directory.listReceived(List.of(incarnation(200, false)), 0, 0);
    directory.listReceived(List.of(incarnation(100, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(incarnation(100, false), current());
    directory.listReceived(List.of(incarnation(200, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(incarnation(100, false), current());
  }

  /**
   * Guards against the return of a former incarnation when an endpoint starts twice within one
   * heartbeat. The list never contains the incarnation in between; the agent reports it, and
   * reports the last one shortly after the list.
   */
  @Test
  void incarnationThatWasNeverListedDoesNotReturn() {
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    directory.agentReported(incarnation(100, false).incarnation());
    directory.agentReported(incarnation(200, false).incarnation());
    directory.listReceived(List.of(incarnation(300, false)), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change last = directory.agentReported(incarnation(300, false).incarnation());
    assertEquals(List.of(incarnation(200, false).incarnation()), last.ended());
    assertEquals(
        List.of(), directory.agentReported(incarnation(200, false).incarnation()).changed());
    assertEquals(
        List.of(), directory.agentReported(incarnation(100, false).incarnation()).changed());
    directory.listReceived(List.of(incarnation(100, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(300, current().incarnation().startMillis());
  }

  /**
   * Guards against a lagging list that undoes an agent's report of the next incarnation. From that
   * report on the engine is in service and has no adapters in memory.
   */
  @Test
  void agentReportsNextIncarnationBeforeTheList() {
    Endpoint holding = incarnation(100, true).restartedAt(100);
    directory.listReceived(List.of(holding), 0, 0);
    directory.agentReported(holding.incarnation());
    EndpointDirectory.Change change = directory.agentReported(new EndpointIncarnation(A, 50));
    assertEquals(List.of(holding.incarnation()), change.ended());
    assertEquals(holding.restartedAt(50), current());
    assertEquals(
        List.of(), directory.listReceived(List.of(holding), READ_MILLIS, READ_MILLIS).changed());
    assertEquals(holding.restartedAt(50), current());
  }

  /**
   * Guards against a busy agent whose late report of the former incarnation undoes the list, which
   * already contains the next one.
   */
  @Test
  void listContainsNextIncarnationBeforeTheAgentReportsIt() {
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    directory.agentReported(incarnation(100, false).incarnation());
    directory.listReceived(List.of(incarnation(50, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(incarnation(50, false), current());
    assertEquals(
        List.of(), directory.agentReported(incarnation(100, false).incarnation()).changed());
    assertEquals(
        List.of(), directory.agentReported(incarnation(50, false).incarnation()).changed());
    assertEquals(incarnation(50, false), current());
  }

  /**
   * Guards against a first list that lags behind the agent at an entry that has just started. Taken
   * as newer, its incarnation would make the running one former, and the engine would get no
   * request until its next start.
   */
  @Test
  void firstListThatLagsBehindTheAgentDoesNotEndTheRunningIncarnation() {
    directory.agentReported(incarnation(200, false).incarnation());
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    assertEquals(200, current().incarnation().startMillis());
    directory.listReceived(List.of(incarnation(200, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(incarnation(200, false), current());
  }

  /**
   * The opposite case: the agent lags, because it was suspended while the engine restarted. Its
   * first report is applied, and its next one must correct that.
   */
  @Test
  void agentThatLagsBehindTheFirstListIsCorrectedByItsNextReport() {
    directory.listReceived(List.of(incarnation(200, false)), 0, 0);
    directory.agentReported(incarnation(100, false).incarnation());
    directory.agentReported(incarnation(200, false).incarnation());
    assertEquals(200, current().incarnation().startMillis());
  }

  /**
   * Guards against requests that wait for a crashed incarnation for good, because its list entry
   * expired before the next incarnation wrote its own.
   */
  @Test
  void formerIncarnationEndsAlsoWhenItsEntryExpiredBefore() {
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    directory.listReceived(List.of(), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change back =
        directory.listReceived(List.of(incarnation(200, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(List.of(incarnation(100, false).incarnation()), back.ended());
  }

  /** An expired entry that returns with the same incarnation must not end that incarnation. */
  @Test
  void sameIncarnationReturnsAfterItsEntryExpired() {
    directory.listReceived(List.of(incarnation(100, false)), 0, 0);
    directory.listReceived(List.of(), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change back =
        directory.listReceived(List.of(incarnation(100, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(List.of(incarnation(100, false)), back.changed());
    assertEquals(List.of(), back.ended());
  }

  /**
   * List and agent each report the incarnations of an endpoint in order, lag by any number of them,
   * and repeat late reports of former ones. Whatever the start times are, the last incarnation that
   * either source has reported must be the current one at any time.
   */
  @Property(tries = 500, seed = "17")
  void lastIncarnationIsCurrentWhicheverSourceReportsFirst(
      @ForAll @UniqueElements @Size(min = 2, max = 8)
          List<@LongRange(min = 1, max = 1_000) Long> starts,
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 3) Integer> steps) {
    EndpointDirectory tested = new EndpointDirectory(SETTINGS);
    tested.servicesChanged(Set.of("s"));
    tested.listReceived(List.of(incarnation(starts.get(0), false)), 0, 0);
    tested.agentReported(incarnation(starts.get(0), false).incarnation());
    int listed = 0;
    int reported = 0;
    int highest = 0;
    for (int step : steps) {
      switch (step) {
        case 0 -> listed = Math.min(listed + 1, starts.size() - 1);
        case 1 -> reported = Math.min(reported + 1, starts.size() - 1);
        case 2 -> tested.listReceived(List.of(incarnation(starts.get(listed / 2), false)), 0, 0);
        default -> tested.agentReported(incarnation(starts.get(reported / 2), false).incarnation());
      }
      tested.listReceived(List.of(incarnation(starts.get(listed), false)), 0, 0);
      tested.agentReported(incarnation(starts.get(reported), false).incarnation());
      highest = Math.max(highest, Math.max(listed, reported));
      long current = tested.endpoint(A).orElseThrow().incarnation().startMillis();
      assertEquals(starts.get(highest), current);
    }
  }

  /**
   * Guards against requests to former ids after engines have restarted under new ids at the same
   * addresses. The list contains the former ids for some seconds, in which all requests were
   * refused although the agents of the new engines were connected.
   */
  @Test
  void engineThatItsAgentReportsUnderNewIdReplacesTheFormer() {
    listed(0, "a");

    EndpointDirectory.Change change = agentReported("b", 100);

    assertEquals(List.of("a"), gone(change));
    assertEquals(List.of(endpoint("a", false).incarnation()), change.ended());
    assertEquals(List.of("b"), ids(change.changed()));
    assertEquals("s", change.changed().get(0).service());
    listed(READ_MILLIS, "a");
    assertEquals(List.of("b"), ids(directory.endpoints()), "the former id must not return");
    listed(2 * READ_MILLIS, "a", "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** A crashed engine may leave the list before its successor is reported at the same address. */
  @Test
  void successorOfAnEngineThatLeftTheListIsUsedWhenItsAgentReportsIt() {
    listed(0, "a");
    listed(READ_MILLIS);

    assertEquals(List.of("b"), ids(agentReported("b", 1_000).changed()));
  }

  /**
   * Guards against new requests to an endpoint that has left the list and whose agent still reports
   * it, because it serves its last requests.
   */
  @Test
  void agentDoesNotBringBackEndpointThatHasLeftTheList() {
    listed(0, "a");
    listed(READ_MILLIS, "a", "b");
    listed(2 * READ_MILLIS, "a");

    assertEquals(List.of(), agentReported("b", 3 * READ_MILLIS).changed());
    assertEquals(List.of("a"), ids(directory.endpoints()));
  }

  /**
   * Guards against a list entry whose key is not a valid id, written by another program. From the
   * first list with such a key on, entry processes accepted no list, and none that started then
   * became ready.
   */
  @Test
  void listEntryWithInvalidKeyDoesNotAffectTheOthers() {
    EndpointDirectory.Change change =
        directory.listReceived(List.of(unusable("NOT AN ID", "x"), endpoint("a", false)), 0, 0);
    assertEquals(List.of("a"), ids(change.changed()));
    assertEquals(1, change.unusable().size());
  }

  /** An engine that only its agent has reported must be removed if its list entry never appears. */
  @Test
  void engineThatIsNeverListedIsDropped() {
    listed(0, "a");
    agentReported("b", 100);
    long over = 100 + EndpointReplacements.ANNOUNCEMENT_TIMEOUT_MILLIS;
    for (long now = READ_MILLIS; now < over; now += READ_MILLIS) {
      assertEquals(List.of(), gone(listed(now)));
    }
    assertEquals(List.of("b"), gone(listed(over)));
  }

  /** The service of an engine is unknown if no endpoint was ever listed at its address. */
  @Test
  void engineAtAnUnknownAddressWaitsForTheList() {
    listed(0, "a");
    EndpointIncarnation other = endpoint("b", false).incarnation();
    assertEquals(List.of(), directory.agentReported(other, "10.0.0.2-1", 100).changed());
  }

  /**
   * Guards against requests to the former of two engines that are listed at one address. After a
   * power loss an entry process reads a list that contains both for a second. The former one is
   * listed with all its adapters, so half of the requests went there and were refused. The agent
   * reports which engine is running.
   */
  @Test
  void ofTwoEnginesListedAtOneAddressTheOneThatTheAgentReportsIsUsed() {
    listed(0, "a", "b");
    EndpointDirectory.Change change = agentReported("b", 100);
    assertEquals(List.of("a"), gone(change));
    assertEquals(List.of(new EndpointIncarnation(A, 0)), change.ended());
    assertEquals(List.of("b"), ids(directory.endpoints()));
    listed(READ_MILLIS, "a", "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** A stale report of an agent that has not noticed the restart is corrected by its next one. */
  @Test
  void displacedEngineIsUsedAgainWhenItsAgentReportsIt() {
    listed(0, "a", "b");
    agentReported("a", 100);
    EndpointDirectory.Change change = agentReported("b", 400);
    assertEquals(List.of("b"), ids(change.changed()));
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** A displaced engine that is still listed is alive, even if its agent never reports it. */
  @Test
  void displacedEngineIsUsedAgainWhenItIsStillListedLater() {
    listed(0, "a", "b");
    agentReported("a", 100);
    directory.agentLost(A);
    long back = 100 + EndpointReplacements.ANNOUNCEMENT_TIMEOUT_MILLIS;
    for (long now = READ_MILLIS; now < back; now += READ_MILLIS) {
      listed(now, "b");
      assertEquals(List.of(), ids(directory.endpoints()));
    }
    listed(back, "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** An agent repeats the id in all its reports; a repeated report must not displace an engine. */
  @Test
  void repeatedReportOfTheAgentChangesNothing() {
    listed(0, "a");
    agentReported("a", 100);
    listed(READ_MILLIS, "a", "b");
    agentReported("a", READ_MILLIS + 10);
    assertEquals(List.of("a", "b"), ids(directory.endpoints()).stream().sorted().toList());
    agentReported("b", READ_MILLIS + 100);
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  private EndpointDirectory.Change agentReported(String id, long now) {
    Endpoint endpoint = endpoint(id, false);
    return directory.agentReported(endpoint.incarnation(), endpoint.address(), now);
  }

  private static List<String> ids(List<Endpoint> endpoints) {
    return endpoints.stream().map(endpoint -> endpoint.id().value()).toList();
  }

  private Endpoint current() {
    return directory.endpoint(A).orElseThrow();
  }

  private static Endpoint incarnation(long start, boolean leaving) {
    return new Endpoint(
        new EndpointIncarnation(A, start),
        "s",
        URI.create("http://10.0.0.1:1"),
        "z",
        1,
        leaving,
        0,
        leaving ? Set.of(AdapterVersion.parse("m/a@1")) : Set.of());
  }

  private static Endpoint endpoint(String id, boolean leaving) {
    return endpoint(id, "s", leaving);
  }

  private static Endpoint endpoint(String id, String service) {
    return endpoint(id, service, false);
  }

  private static Endpoint endpoint(String id, String service, boolean leaving) {
    return new Endpoint(
        new EndpointIncarnation(new EndpointId(id), EndpointIncarnation.UNKNOWN_START),
        service,
        URI.create("http://10.0.0.1:1"),
        "z",
        1,
        leaving,
        0,
        Set.of());
  }
}
