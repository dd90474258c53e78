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
 * Chooses the agents that an entry connects to.
 *
 * <p>Up to {@link #FULL_MESH_LIMIT} agents an entry connects to all of them. With 400 entries and
 * 1,400 agents a full mesh would have 560,000 connections, and the heartbeats of 1,400 connections
 * alone would use about 100 KB/s on a node whose budget is 17 KB/s. So with more agents an entry
 * connects to those of its own availability zone and to {@link #AGENTS_PER_OTHER_ZONE} of every
 * other zone, to which it sends requests when its own zone is full or has lost its agents.
 *
 * <p>The agents of another zone are the first in a rendezvous hashing order (Thaler and
 * Ravishankar, 1998) over the entry's id and the agent's address. So they are distributed over the
 * entries without coordination, every agent is chosen by about the same number of entries, and when
 * an agent leaves, only the entries that had chosen it choose another one.
 */
public final class ConnectionPlan {

  /** Maximum agents for a full mesh; 64 heartbeats per second take 5 KB/s. */
  public static final int FULL_MESH_LIMIT = 64;

  /** Agents chosen in each other zone; when one is lost, the zone is reached by the other. */
  public static final int AGENTS_PER_OTHER_ZONE = 2;

  private ConnectionPlan() {}

  /**
   * An agent in the platform's list.
   *
   * @param address the address on which it listens
   * @param zone its availability zone
   */
  public record AgentLocation(String address, AvailabilityZone zone) {}

  /**
   * Chooses the agents that an entry connects to.
   *
   * @param entry the entry's instance id
   * @param zone the entry's availability zone
   * @param agents all agents in the platform's list
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
        (agentZone, agentsInZone) ->
            agentsInZone.stream()
                .sorted(Comparator.comparingLong(agent -> rank(entry, agent.address())))
                .limit(agentZone.equals(zone) ? Integer.MAX_VALUE : AGENTS_PER_OTHER_ZONE)
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
