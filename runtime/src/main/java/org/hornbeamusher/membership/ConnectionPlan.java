package org.hornbeamusher.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.hornbeamusher.ids.AvailabilityZone;

/**
 * Decides which agents an entry connects to.
 *
 * <p>With few agents, all of them. At 400 entries and 1,400 agents a full mesh would be 560,000
 * connections, and the heartbeats of 1,400 connections alone would take a node some 100 KB a second
 * of the 17 it may spend. So beyond {@link #FULL_MESH_LIMIT} agents an entry connects to those of
 * its own availability zone and to {@link #BEYOND} of every other zone, which it reaches when its
 * own zone is full or has lost its agents.
 *
 * <p>The few of another zone are the first by rendezvous hashing (Thaler and Ravishankar, 1998)
 * over the entry's id and the agent's address. So they are spread over the entries without anybody
 * talking, every agent is chosen by about the same number of entries, and when an agent goes only
 * the entries that had chosen it choose another one.
 */
public final class ConnectionPlan {

  /** Up to this many agents an entry connects to all: 64 heartbeats a second are 5 KB. */
  public static final int FULL_MESH_LIMIT = 64;

  /** Agents of each other zone. One may be lost while the other still gives a way out. */
  public static final int BEYOND = 2;

  private ConnectionPlan() {}

  /**
   * An agent as the list shows it.
   *
   * @param address where it listens
   * @param zone where it runs
   */
  public record AgentLocation(String address, AvailabilityZone zone) {}

  /**
   * Chooses.
   *
   * @param entry the entry's instance id
   * @param zone the entry's availability zone
   * @param agents every agent of the list
   * @return the addresses to connect to
   */
  public static Set<String> chooseAgents(
      String entry, AvailabilityZone zone, Collection<AgentLocation> agents) {
    if (agents.size() <= FULL_MESH_LIMIT) {
      return agents.stream()
          .map(AgentLocation::address)
          .collect(Collectors.toCollection(TreeSet::new));
    }
    Map<AvailabilityZone, List<AgentLocation>> byZone =
        agents.stream().collect(Collectors.groupingBy(AgentLocation::zone));
    Set<String> chosen = new TreeSet<>();
    byZone.forEach(
        (other, places) ->
            places.stream()
                .sorted(Comparator.comparingLong(place -> rank(entry, place.address())))
                .limit(other.equals(zone) ? Integer.MAX_VALUE : BEYOND)
                .map(AgentLocation::address)
                .forEach(chosen::add));
    return chosen;
  }

  private static long rank(String entry, String address) {
    long value = 0x9E3779B97F4A7C15L;
    String text = entry + "|" + address;
    for (int i = 0; i < text.length(); i++) {
      value = (value ^ text.charAt(i)) * 0xBF58476D1CE4E5B9L;
      value ^= value >>> 27;
    }
    value *= 0x94D049BB133111EBL;
    return value ^ (value >>> 31);
  }
}
