package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.hornbeamusher.ids.ProcessIncarnation;
import org.junit.jupiter.api.Test;

class PeerTableTest {

  private static final String ADDRESS = "10.0.0.1:7400";
  private static final ProcessIncarnation FIRST = new ProcessIncarnation(11);
  private static final ProcessIncarnation SECOND = new ProcessIncarnation(22);

  private final PeerTable table = new PeerTable();

  @Test
  void listedPeerIsConnectedOnceAndJoinsByItsOwnWord() {
    assertEquals(List.of(new PeerEvent.Connect(ADDRESS)), listed("i-1", false));
    assertEquals(List.of(), listed("i-1", false));
    assertEquals(List.of(new PeerEvent.Joined(ADDRESS, FIRST)), introduced(1, "i-1", FIRST));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  /**
   * The platform's list is empty for a while. Endpoints that answer must go on getting work, or an
   * outage of the list would stop everything.
   */
  @Test
  void emptyListTakesNoWorkingPeerAway() {
    join();

    assertEquals(List.of(), table.updateFromList(List.of()));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  /** An agent drains; the list goes on showing it as live. It must get nothing new. */
  @Test
  void ownWordOfLeavingWinsOverTheList() {
    join();

    assertEquals(
        List.of(new PeerEvent.Leaving(ADDRESS, FIRST)), table.leavingReceived(ADDRESS, FIRST));
    assertEquals(List.of(), listed("i-1", false));
    assertEquals(Set.of(), table.availablePeers());
  }

  /** The platform removes an instance without telling its agent. The list alone must suffice. */
  @Test
  void listsWordOfLeavingStopsNewWorkToo() {
    join();

    assertEquals(List.of(new PeerEvent.Leaving(ADDRESS, FIRST)), listed("i-1", true));
    assertEquals(Set.of(), table.availablePeers());
  }

  /**
   * An instance is replaced at the same address while the list still shows its predecessor as
   * leaving. The replacement must get work at once.
   */
  @Test
  void predecessorsLeavingDoesNotApplyToItsReplacement() {
    join();
    table.leavingReceived(ADDRESS, FIRST);
    listed("i-1", true);

    assertEquals(
        List.of(new PeerEvent.Lost(ADDRESS, FIRST), new PeerEvent.Joined(ADDRESS, SECOND)),
        introduced(2, "i-2", SECOND));
    assertEquals(List.of(), table.leavingReceived(ADDRESS, FIRST));
    assertEquals(List.of(), table.disconnected(ADDRESS, 1));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  /**
   * The first connection's introduction was under way for long and comes after the second's. The
   * process it names is gone; requests must not be settled or sent by its word.
   */
  @Test
  void introductionOnAnEarlierConnectionIsIgnored() {
    listed("i-2", false);
    introduced(2, "i-2", SECOND);

    assertEquals(List.of(), introduced(1, "i-1", FIRST));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  @Test
  void lostConnectionSettlesAttemptsAndOpensAnotherOne() {
    join();

    assertEquals(
        List.of(new PeerEvent.Lost(ADDRESS, FIRST), new PeerEvent.Connect(ADDRESS)),
        table.disconnected(ADDRESS, 1));
    assertEquals(List.of(new PeerEvent.Joined(ADDRESS, FIRST)), introduced(2, "i-1", FIRST));
  }

  /** A connection breaks in the middle of a drain; the next one must not undo the drain. */
  @Test
  void leavingOutlivesTheConnection() {
    join();
    table.leavingReceived(ADDRESS, FIRST);

    assertEquals(List.of(), introduced(2, "i-1", FIRST));
    assertEquals(Set.of(), table.availablePeers());
  }

  /** A draining process's connection is lost and it connects once more, without a further word. */
  @Test
  void leavingOutlivesTheLossOfTheConnection() {
    join();
    table.leavingReceived(ADDRESS, FIRST);
    table.disconnected(ADDRESS, 1);

    assertEquals(List.of(), introduced(2, "i-1", FIRST));
    assertEquals(Set.of(), table.availablePeers());
  }

  /**
   * The list shows an instance that has drained and closed. Nobody must call it again and again.
   */
  @Test
  void departedInstanceIsNotConnectedAgainThoughListed() {
    join();
    table.leavingReceived(ADDRESS, FIRST);
    table.disconnected(ADDRESS, 1);

    assertEquals(List.of(), listed("i-1", false));
    assertEquals(List.of(new PeerEvent.Connect(ADDRESS)), listed("i-2", false));
  }

  private void join() {
    listed("i-1", false);
    introduced(1, "i-1", FIRST);
  }

  private List<PeerEvent> listed(String instance, boolean leaving) {
    return table.updateFromList(List.of(new PeerListEntry(ADDRESS, instance, leaving)));
  }

  private List<PeerEvent> introduced(
      long connection, String instance, ProcessIncarnation incarnation) {
    return table.helloReceived(ADDRESS, connection, instance, incarnation);
  }
}
