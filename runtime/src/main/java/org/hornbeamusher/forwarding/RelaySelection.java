package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * Chooses the two connected agents that relay what all entries must know. Entries that are
 * connected to the same agents choose the same two by rendezvous hashing.
 */
final class RelaySelection {

  private static final int RELAY_COUNT = 2;

  private final Set<InetSocketAddress> connected = new HashSet<>();

  void opened(InetSocketAddress agent) {
    connected.add(agent);
  }

  void closed(InetSocketAddress agent) {
    connected.remove(agent);
  }

  /** Returns whether as many agents are connected as are to be chosen. */
  boolean isComplete() {
    return connected.size() >= RELAY_COUNT;
  }

  /** Returns the chosen agents; fewer than two if no more are connected. */
  List<InetSocketAddress> relays() {
    return connected.stream()
        .sorted(Comparator.comparingLong(agent -> RendezvousHash.hash(agent.toString())))
        .limit(RELAY_COUNT)
        .toList();
  }
}
