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
import org.hornbeamusher.ids.EndpointLife;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final long READ_MILLIS = 700;
  private static final EndpointId A = new EndpointId("a");

  private static final long RENEWAL_MILLIS = 1_200;
  private static final long CONTACT_MILLIS = 3_000;
  private static final ListSettings SETTINGS =
      new ListSettings(READ_MILLIS, RENEWAL_MILLIS, CONTACT_MILLIS);

  /** How long endpoints are kept that a list lacks. */
  private static final long GRACE_MILLIS = SETTINGS.graceMillis();

  private final EndpointDirectory directory = new EndpointDirectory(SETTINGS);

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
    long over = 10_000 + GRACE_MILLIS;
    for (long now = 10_000 + READ_MILLIS; now < over; now += READ_MILLIS) {
      assertEquals(List.of(), gone(listed(now, "a")));
    }
    assertEquals(List.of("b"), gone(listed(over, "a")));
  }

  /** Guards against times that add up: those of the first answer, the grace period and a list. */
  @Test
  void graceBeginsAtTheLastQuestionThatWasNotAnsweredAndEndsByTheClock() {
    listed(0, "a", "b");
    directory.unanswered(9_100);
    EndpointDirectory.Change back = listed(10_000, "a");
    assertEquals(9_100 + GRACE_MILLIS - 10_000, back.absence().keptMillis());
    listed(10_000 + 2 * READ_MILLIS, "a");
    assertEquals(List.of(), gone(directory.expire(9_099 + GRACE_MILLIS)));
    assertEquals(List.of("b"), gone(directory.expire(9_100 + GRACE_MILLIS)));
  }

  /** Guards against endpoints that are dropped because the process was suspended, not the store. */
  @Test
  void graceBeginsAtTheQuestionAfterThePauseOfProcess() {
    listed(0, "a", "b");
    directory.unanswered(100);
    assertEquals(GRACE_MILLIS - 1_000, listed(10_000, "a").absence().keptMillis());
    listed(20_000, "a", "b");
    assertEquals(GRACE_MILLIS, listed(30_000, "a").absence().keptMillis());
  }

  /** Guards against a lost answer that is taken for an outage in which entries lapse. */
  @Test
  void endpointIsGoneAtOnceAfterGapInWhichNoEntryCanLapse() {
    listed(0, "a", "b");
    directory.unanswered(READ_MILLIS);
    assertEquals(List.of("b"), gone(listed(SETTINGS.lapseMillis(), "a")));
  }

  /** Guards against endpoints that are removed by a list from before another outage. */
  @Test
  void endpointIsKeptWhenListsCeaseBeforeTheGraceIsOver() {
    listed(0, "a", "b");
    listed(10_000, "a");
    assertEquals(List.of(), gone(directory.expire(10_000 + GRACE_MILLIS)));
    directory.unanswered(14_000);
    listed(14_500, "a");
    listed(14_500 + 2 * READ_MILLIS, "a");
    assertEquals(List.of("b"), gone(directory.expire(14_000 + GRACE_MILLIS)));
  }

  /** Guards against an endpoint that is removed though it has returned to the list. */
  @Test
  void endpointThatReturnedToTheListIsKept() {
    listed(0, "a", "b");
    listed(10_000, "a");
    assertTrue(directory.missing(new EndpointId("b")));
    listed(10_000 + 2 * READ_MILLIS, "a", "b");
    assertEquals(List.of(), gone(directory.expire(10_000 + GRACE_MILLIS)));
  }

  /** Guards against a slow transfer of the list that is taken for an outage of the store. */
  @Test
  void endpointThatIsNoLongerListedIsGoneThoughItsListTookLongToArrive() {
    listed(0, "a", "b");
    assertEquals(List.of("b"), gone(listed(READ_MILLIS, READ_MILLIS + 2_000, "a")));
  }

  /** Guards against a list that was asked for before all entries were back and arrives later. */
  @Test
  void listAskedForTooSoonAfterAnOutageRemovesNothing() {
    listed(0, "a", "b");
    listed(10_000, "a");
    long asked = 10_000 + GRACE_MILLIS - 100;
    assertEquals(List.of(), gone(listed(asked, asked + 1_000, "a")));
  }

  /** Guards against a list that seems as young as its last byte. */
  @Test
  void ageOfTheListCountsFromItsQuestion() {
    listed(1_000, 3_000, "a");
    assertEquals(2_500, directory.ageMillis(3_500));
  }

  /** A list that was read before another one may arrive after it; leaving is never taken back. */
  @Test
  void leavingEndpointDoesNotReturnToService() {
    directory.listed(List.of(endpoint("a", true)), 0, 0);
    directory.listed(List.of(endpoint("a", false)), READ_MILLIS, READ_MILLIS);
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  /**
   * Another writer spoils the entry of an endpoint that was leaving. Taken for the endpoint's word,
   * it could bring it back into service while it is about to end.
   */
  @Test
  void leavingEndpointGoesOnLeavingWhenItsEntryIsUnusable() {
    directory.listed(List.of(endpoint("a", true)), 0, 0);
    assertEquals(
        List.of(), directory.listed(List.of(spoilt("a", "x")), READ_MILLIS, READ_MILLIS).gone());
    assertTrue(directory.endpoint(new EndpointId("a")).orElseThrow().leaving());
  }

  /**
   * A faulty writer spoils every entry. The endpoints are well; without them callers would have
   * nobody.
   */
  @Test
  void endpointsStayInServiceWhenTheirEntriesAreUnusable() {
    listed(0, "a", "b");
    directory.listed(List.of(spoilt("a", "x"), spoilt("b", "x")), READ_MILLIS, READ_MILLIS);
    assertEquals(2, directory.endpoints().size());
    assertEquals(2, directory.unusableEntries());
    assertEquals(
        List.of("a"),
        gone(directory.listed(List.of(spoilt("b", "x")), 2 * READ_MILLIS, 2 * READ_MILLIS)));
    listed(3 * READ_MILLIS, "b");
    assertEquals(0, directory.unusableEntries());
  }

  /** What holds is the last usable entry, so an endpoint is heard again once its entry is. */
  @Test
  void endpointIsHeardAgainWhenItsEntryIsUsableAgain() {
    listed(0, "a");
    directory.listed(List.of(spoilt("a", "x")), READ_MILLIS, READ_MILLIS);
    assertEquals(
        1,
        directory
            .listed(List.of(endpoint("a", true)), 2 * READ_MILLIS, 2 * READ_MILLIS)
            .changed()
            .size());
  }

  @Test
  void unusableEntryNamesNoEndpoint() {
    directory.listed(List.of(spoilt("a", "x"), endpoint("b", false)), 0, 0);
    assertEquals(List.of(endpoint("b", false)), directory.endpoints());
  }

  /** The list is read more than once a second; the same fault each time would flood the log. */
  @Test
  void unusableEntryIsNewsOnceForEachReason() {
    assertEquals(1, directory.listed(List.of(spoilt("a", "x")), 0, 0).unusable().size());
    assertEquals(
        0, directory.listed(List.of(spoilt("a", "x")), READ_MILLIS, READ_MILLIS).unusable().size());
    assertEquals(
        1,
        directory
            .listed(List.of(spoilt("a", "y")), 2 * READ_MILLIS, 2 * READ_MILLIS)
            .unusable()
            .size());
    listed(3 * READ_MILLIS, "a");
    assertEquals(
        1,
        directory
            .listed(List.of(spoilt("a", "y")), 4 * READ_MILLIS, 4 * READ_MILLIS)
            .unusable()
            .size());
  }

  /**
   * Another writer moves an endpoint to a service that nobody configured. Believed, it would take
   * the endpoint from the callers of its own.
   */
  @Test
  void endpointIsNotMovedToServiceThatIsNotConfigured() {
    listed(0, "a");
    EndpointDirectory.Change change =
        directory.listed(List.of(endpoint("a", "nowhere")), READ_MILLIS, READ_MILLIS);
    assertEquals(1, change.unusable().size());
    assertEquals("s", directory.endpoint(new EndpointId("a")).orElseThrow().service());
  }

  /** The endpoints of a new service are listed before the configuration that names it is read. */
  @Test
  void endpointOfNewServiceIsUsedWithTheConfigurationThatNamesIt() {
    directory.listed(List.of(endpoint("a", "new")), 0, 0);
    assertEquals(List.of(), directory.endpoints());
    assertEquals(1, directory.configured(Set.of("s", "new")).changed().size());
    assertEquals(1, directory.endpoints().size());
  }

  /** A service is dropped while its endpoints live; that they leave must still be heard. */
  @Test
  void endpointOfDroppedServiceIsStillHeard() {
    listed(0, "a");
    directory.configured(Set.of("other"));
    directory.listed(List.of(endpoint("a", true)), READ_MILLIS, READ_MILLIS);
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
    return listed(now, now, ids);
  }

  private EndpointDirectory.Change listed(long asked, long now, String... ids) {
    return directory.listed(Stream.of(ids).map(id -> endpoint(id, false)).toList(), asked, now);
  }

  private static List<String> gone(EndpointDirectory.Change change) {
    return change.gone().stream().map(endpoint -> endpoint.id().value()).toList();
  }

  private static UnusableEntry spoilt(String key, String reason) {
    return new UnusableEntry(key, reason, OptionalLong.of(7));
  }

  /**
   * An engine said that it was leaving, crashed, and started again under the id that it had.
   * Callers noticed that it got no request any more, for as long as the entry ran.
   */
  @Test
  void laterLifeOfLeavingEndpointIsInService() {
    directory.listed(List.of(life(100, true)), 0, 0);
    EndpointDirectory.Change change =
        directory.listed(List.of(life(200, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(life(200, false), now());
    assertEquals(List.of(life(100, true).life()), change.ended());
  }

  /**
   * The last entry that a life wrote arrives after the first one of the next life. Taken at its
   * word, the entry would again count on adapters that the engine lost, and end all that runs.
   */
  @Test
  void lateEntryOfFormerLifeChangesNothing() {
    directory.listed(List.of(life(100, false)), 0, 0);
    directory.listed(List.of(life(200, false)), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change late =
        directory.listed(List.of(life(100, true)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(new EndpointDirectory.Change(List.of(), List.of(), List.of(), List.of()), late);
    assertEquals(life(200, false), now());
  }

  /**
   * The clock of a machine was set back before its endpoint started again, so that the later life
   * names the earlier start. With the greater start taken as the newer, the dead life would stay.
   */
  @Test
  void laterLifeAfterSteppedClockIsInForce() {
    directory.listed(List.of(life(200, false)), 0, 0);
    directory.listed(List.of(life(100, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(life(100, false), now());
    directory.listed(List.of(life(200, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(life(100, false), now());
  }

  /**
   * An endpoint starts twice within one heartbeat: the list never names the life in the middle, the
   * agent does, and catches up a moment after the list. Neither former life comes back then.
   */
  @Test
  void lifeThatWasNeverListedIsPassedOver() {
    directory.listed(List.of(life(100, false)), 0, 0);
    directory.agentReported(life(100, false).life());
    directory.agentReported(life(200, false).life());
    directory.listed(List.of(life(300, false)), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change last = directory.agentReported(life(300, false).life());
    assertEquals(List.of(life(200, false).life()), last.ended());
    assertEquals(List.of(), directory.agentReported(life(200, false).life()).changed());
    assertEquals(List.of(), directory.agentReported(life(100, false).life()).changed());
    directory.listed(List.of(life(100, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(300, now().life().startMillis());
  }

  /**
   * The agent sees its engine's next life seconds before the list does. The engine is believed
   * empty and in service from that word on, and the lagging list takes none of it back.
   */
  @Test
  void agentTellsOfNextLifeBeforeTheListDoes() {
    Endpoint holding = life(100, true).restartedAt(100);
    directory.listed(List.of(holding), 0, 0);
    directory.agentReported(holding.life());
    EndpointDirectory.Change change = directory.agentReported(new EndpointLife(A, 50));
    assertEquals(List.of(holding.life()), change.ended());
    assertEquals(holding.restartedAt(50), now());
    assertEquals(List.of(), directory.listed(List.of(holding), READ_MILLIS, READ_MILLIS).changed());
    assertEquals(holding.restartedAt(50), now());
  }

  /**
   * The list names the next life before a busy agent does. The agent's late word of the former life
   * changes nothing, and its next word is of the same life.
   */
  @Test
  void listTellsOfNextLifeBeforeTheAgentDoes() {
    directory.listed(List.of(life(100, false)), 0, 0);
    directory.agentReported(life(100, false).life());
    directory.listed(List.of(life(50, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(life(50, false), now());
    assertEquals(List.of(), directory.agentReported(life(100, false).life()).changed());
    assertEquals(List.of(), directory.agentReported(life(50, false).life()).changed());
    assertEquals(life(50, false), now());
  }

  /**
   * An entry has just started. The agent has named the engine's life already; the list still names
   * the life before. Taken as the newer one, it would make a former life of the living one, and the
   * engine would get no request until it started again.
   */
  @Test
  void firstListThatLagsBehindTheAgentDoesNotEndTheLivingLife() {
    directory.agentReported(life(200, false).life());
    directory.listed(List.of(life(100, false)), 0, 0);
    assertEquals(200, now().life().startMillis());
    directory.listed(List.of(life(200, false)), READ_MILLIS, READ_MILLIS);
    assertEquals(life(200, false), now());
  }

  /**
   * Likewise, but it is the agent that lags: it was frozen while the engine started again. What it
   * says first is believed for a moment, and put right by what it says next.
   */
  @Test
  void agentThatLagsBehindTheFirstListIsPutRightByItsNextWord() {
    directory.listed(List.of(life(200, false)), 0, 0);
    directory.agentReported(life(100, false).life());
    directory.agentReported(life(200, false).life());
    assertEquals(200, now().life().startMillis());
  }

  /**
   * The entry of a crashed engine lapses before the next life writes its own. Requests may still
   * wait for an answer of the former life, whose machine went without a word.
   */
  @Test
  void formerLifeEndsAlsoWhenItsEntryLapsedBefore() {
    directory.listed(List.of(life(100, false)), 0, 0);
    directory.listed(List.of(), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change back =
        directory.listed(List.of(life(200, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(List.of(life(100, false).life()), back.ended());
  }

  /** An entry that lapsed comes back in the same life; nothing has ended. */
  @Test
  void sameLifeReturnsAfterItsEntryLapsed() {
    directory.listed(List.of(life(100, false)), 0, 0);
    directory.listed(List.of(), READ_MILLIS, READ_MILLIS);
    EndpointDirectory.Change back =
        directory.listed(List.of(life(100, false)), 2 * READ_MILLIS, 2 * READ_MILLIS);
    assertEquals(List.of(life(100, false)), back.changed());
    assertEquals(List.of(), back.ended());
  }

  /**
   * List and agent each see the lives of an endpoint in their order and lag by any number of lives;
   * in between come late words of lives that the same source has left. Whatever the starts are, the
   * last life that either has named is in force at every moment.
   */
  @Property(tries = 500, seed = "17")
  void lastLifeIsInForceWhoeverTellsFirst(
      @ForAll @UniqueElements @Size(min = 2, max = 8)
          List<@LongRange(min = 1, max = 1_000) Long> starts,
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 3) Integer> steps) {
    EndpointDirectory drawn = new EndpointDirectory(SETTINGS);
    drawn.configured(Set.of("s"));
    drawn.listed(List.of(life(starts.get(0), false)), 0, 0);
    drawn.agentReported(life(starts.get(0), false).life());
    int listed = 0;
    int told = 0;
    int highest = 0;
    for (int step : steps) {
      switch (step) {
        case 0 -> listed = Math.min(listed + 1, starts.size() - 1);
        case 1 -> told = Math.min(told + 1, starts.size() - 1);
        case 2 -> drawn.listed(List.of(life(starts.get(listed / 2), false)), 0, 0);
        default -> drawn.agentReported(life(starts.get(told / 2), false).life());
      }
      drawn.listed(List.of(life(starts.get(listed), false)), 0, 0);
      drawn.agentReported(life(starts.get(told), false).life());
      highest = Math.max(highest, Math.max(listed, told));
      long inForce = drawn.endpoint(A).orElseThrow().life().startMillis();
      assertEquals(starts.get(highest), inForce);
    }
  }

  /**
   * Engines lose power and start again under new ids at the addresses that they had. For seconds
   * the list still names the former ids, and every request sent to one of them was refused, while
   * the agents beside the new ones were connected already.
   */
  @Test
  void engineThatItsAgentSeesUnderNewIdStandsInThePlaceOfTheFormer() {
    listed(0, "a");

    EndpointDirectory.Change change = agentReported("b", 100);

    assertEquals(List.of("a"), gone(change));
    assertEquals(List.of(endpoint("a", false).life()), change.ended());
    assertEquals(List.of("b"), ids(change.changed()));
    assertEquals("s", change.changed().get(0).service());
    listed(READ_MILLIS, "a");
    assertEquals(List.of("b"), ids(directory.endpoints()), "the former id does not come back");
    listed(2 * READ_MILLIS, "a", "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** A crashed engine leaves the list before it is back; its place is remembered. */
  @Test
  void successorOfAnEngineThatLeftTheListIsUsedAtItsAgentsWord() {
    listed(0, "a");
    listed(READ_MILLIS);

    assertEquals(List.of("b"), ids(agentReported("b", 1_000).changed()));
  }

  /**
   * An endpoint has left the list and goes on serving for a while; its agent still names it. It was
   * the list's word that it is gone, and nothing new may reach it.
   */
  @Test
  void agentDoesNotBringBackWhatHasLeftTheList() {
    listed(0, "a");
    listed(READ_MILLIS, "a", "b");
    listed(2 * READ_MILLIS, "a");

    assertEquals(List.of(), agentReported("b", 3 * READ_MILLIS).changed());
    assertEquals(List.of("a"), ids(directory.endpoints()));
  }

  /**
   * Another program has written an entry under a key that is no id at all. With the first list that
   * held it, entries took no list any more, and none that started then ever became ready.
   */
  @Test
  void entryUnderAnyKeyLeavesTheOthersInUse() {
    EndpointDirectory.Change change =
        directory.listed(List.of(spoilt("NOT AN ID", "x"), endpoint("a", false)), 0, 0);
    assertEquals(List.of("a"), ids(change.changed()));
    assertEquals(1, change.unusable().size());
  }

  /** An engine that only its agent ever named is not used for longer than its entry may take. */
  @Test
  void engineThatIsNeverListedIsDropped() {
    listed(0, "a");
    agentReported("b", 100);
    long over = 100 + Successors.ANNOUNCED_MILLIS;
    for (long now = READ_MILLIS; now < over; now += READ_MILLIS) {
      assertEquals(List.of(), gone(listed(now)));
    }
    assertEquals(List.of("b"), gone(listed(over)));
  }

  /** An agent beside an address of which the list never spoke says nothing about any service. */
  @Test
  void engineAtAnUnknownAddressWaitsForTheList() {
    listed(0, "a");
    EndpointLife other = endpoint("b", false).life();
    assertEquals(List.of(), directory.agentReported(other, "10.0.0.2-1", 100).changed());
  }

  /**
   * Everything lost power. An entry that starts reads a list that names both lives of each engine
   * at one address, the former for a second more. It says that it holds all that it held, so
   * requests went there and were refused, while the engine that stands there got half of them. The
   * agent beside it knows which one it is.
   */
  @Test
  void ofTwoEnginesListedAtOneAddressTheOneThatItsAgentSeesIsUsed() {
    listed(0, "a", "b");
    EndpointDirectory.Change change = agentReported("b", 100);
    assertEquals(List.of("a"), gone(change));
    assertEquals(List.of(new EndpointLife(A, 0)), change.ended());
    assertEquals(List.of("b"), ids(directory.endpoints()));
    listed(READ_MILLIS, "a", "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** The agent had not noticed yet that its engine started again; its next word puts it right. */
  @Test
  void engineThatHadToMakeWayIsBackAtItsAgentsWord() {
    listed(0, "a", "b");
    agentReported("a", 100);
    EndpointDirectory.Change change = agentReported("b", 400);
    assertEquals(List.of("b"), ids(change.changed()));
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** The agent was lost before it noticed. An engine that goes on to be listed is alive. */
  @Test
  void engineThatHadToMakeWayIsBackWhenItIsListedForLonger() {
    listed(0, "a", "b");
    agentReported("a", 100);
    directory.agentLost(A);
    long back = 100 + Successors.ANNOUNCED_MILLIS;
    for (long now = READ_MILLIS; now < back; now += READ_MILLIS) {
      listed(now, "b");
      assertEquals(List.of(), ids(directory.endpoints()));
    }
    listed(back, "b");
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  /** An agent repeats its word with whatever else it has to say; that ends no later engine. */
  @Test
  void repeatedWordOfTheAgentIsNoNews() {
    listed(0, "a");
    agentReported("a", 100);
    listed(READ_MILLIS, "a", "b");
    agentReported("a", READ_MILLIS + 10);
    assertEquals(List.of("a", "b"), ids(directory.endpoints()).stream().sorted().toList());
    agentReported("b", READ_MILLIS + 100);
    assertEquals(List.of("b"), ids(directory.endpoints()));
  }

  private EndpointDirectory.Change agentReported(String id, long now) {
    Endpoint told = endpoint(id, false);
    return directory.agentReported(told.life(), told.address(), now);
  }

  private static List<String> ids(List<Endpoint> endpoints) {
    return endpoints.stream().map(endpoint -> endpoint.id().value()).toList();
  }

  private Endpoint now() {
    return directory.endpoint(A).orElseThrow();
  }

  private static Endpoint life(long start, boolean leaving) {
    return new Endpoint(
        new EndpointLife(A, start),
        "s",
        URI.create("http://10.0.0.1:1"),
        "z",
        1,
        leaving,
        0,
        leaving ? Set.of(HeldAdapter.parse("m/a@1")) : Set.of());
  }

  private static Endpoint endpoint(String id, boolean leaving) {
    return endpoint(id, "s", leaving);
  }

  private static Endpoint endpoint(String id, String service) {
    return endpoint(id, service, false);
  }

  private static Endpoint endpoint(String id, String service, boolean leaving) {
    return new Endpoint(
        new EndpointLife(new EndpointId(id), EndpointLife.UNKNOWN_START),
        service,
        URI.create("http://10.0.0.1:1"),
        "z",
        1,
        leaving,
        0,
        Set.of());
  }
}
