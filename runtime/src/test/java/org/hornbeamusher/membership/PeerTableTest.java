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
  void listedPeerIsConnectedOnceAndJoinsByItsHello() {
    assertEquals(List.of(new PeerEvent.Connect(ADDRESS)), listed("i-1", false));
    assertEquals(List.of(), listed("i-1", false));
    assertEquals(List.of(new PeerEvent.Joined(ADDRESS, FIRST)), introduced(1, "i-1", FIRST));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  /**
   * The platform's list is temporarily empty. Guards against an outage of the list that removes all
   * working peers.
   */
  @Test
  void emptyListDoesNotRemoveConnectedPeer() {
    join();

    assertEquals(List.of(), table.updateFromList(List.of()));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  /** A draining agent must get no new requests, although the list still shows it as live. */
  @Test
  void leavingMessageOverridesTheList() {
    join();

    assertEquals(
        List.of(new PeerEvent.Leaving(ADDRESS, FIRST)), table.leavingReceived(ADDRESS, FIRST));
    assertEquals(List.of(), listed("i-1", false));
    assertEquals(Set.of(), table.availablePeers());
  }

  /** The platform removes an instance without notifying its agent; the list alone must suffice. */
  @Test
  void leavingInTheListStopsNewRequests() {
    join();

    assertEquals(List.of(new PeerEvent.Leaving(ADDRESS, FIRST)), listed("i-1", true));
    assertEquals(Set.of(), table.availablePeers());
  }

  /**
   * An instance is replaced at the same address while the list still shows its predecessor as
   * leaving. The replacement must be available at once.
   */
  @Test
  void leavingOfPredecessorDoesNotApplyToReplacement() {
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
   * The hello of the first connection is delayed and arrives after that of the second. The process
   * it names has ended, so it must not replace the current one.
   */
  @Test
  void helloOnAnEarlierConnectionIsIgnored() {
    listed("i-2", false);
    introduced(2, "i-2", SECOND);

    assertEquals(List.of(), introduced(1, "i-1", FIRST));
    assertEquals(Set.of(ADDRESS), table.availablePeers());
  }

  @Test
  void lostConnectionIsReportedAndReopened() {
    join();

    assertEquals(
        List.of(new PeerEvent.Lost(ADDRESS, FIRST), new PeerEvent.Connect(ADDRESS)),
        table.disconnected(ADDRESS, 1));
    assertEquals(List.of(new PeerEvent.Joined(ADDRESS, FIRST)), introduced(2, "i-1", FIRST));
  }

  /** A new connection during a drain must not undo the drain. */
  @Test
  void leavingPersistsOnNewConnection() {
    join();
    table.leavingReceived(ADDRESS, FIRST);

    assertEquals(List.of(), introduced(2, "i-1", FIRST));
    assertEquals(Set.of(), table.availablePeers());
  }

  /** A draining process loses its connection and reconnects without repeating that it leaves. */
  @Test
  void leavingPersistsAfterTheConnectionIsLost() {
    join();
    table.leavingReceived(ADDRESS, FIRST);
    table.disconnected(ADDRESS, 1);

    assertEquals(List.of(), introduced(2, "i-1", FIRST));
    assertEquals(Set.of(), table.availablePeers());
  }

  /** Guards against repeated connection attempts to a drained instance that is still listed. */
  @Test
  void departedInstanceIsNotReconnectedWhileListed() {
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
