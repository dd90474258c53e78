package org.hornbeamusher.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.membership.ConnectionPlan;

/**
 * The connections that {@link ConnectionPlan} opens at the expected scale.
 *
 * @param agentsOfEntry mean number of agents that an entry is connected to
 * @param mostAgentsOfEntry maximum number of agents that an entry is connected to
 * @param entriesOfAgent mean number of entries that an agent is connected to
 * @param mostEntriesOfAgent maximum number of entries that an agent is connected to
 * @param hops number of connections from the entry that reads a change first to the farthest
 *     process
 */
record Topology(
    double agentsOfEntry,
    int mostAgentsOfEntry,
    double entriesOfAgent,
    int mostEntriesOfAgent,
    int hops) {

  static Topology plan() {
    List<ConnectionPlan.AgentLocation> agents = ExpectedScale.agents();
    Map<String, Integer> numbers = new HashMap<>();
    for (int i = 0; i < agents.size(); i++) {
      numbers.put(agents.get(i).address(), i);
    }
    List<List<Integer>> agentsOf = new ArrayList<>();
    List<List<Integer>> entriesOf = new ArrayList<>();
    agents.forEach(agent -> entriesOf.add(new ArrayList<>()));
    for (int entry = 0; entry < ExpectedScale.ENTRIES; entry++) {
      List<Integer> chosen = new ArrayList<>();
      for (String address :
          ConnectionPlan.chooseAgents("entry-" + entry, ExpectedScale.zone(entry), agents)) {
        chosen.add(numbers.get(address));
        entriesOf.get(numbers.get(address)).add(entry);
      }
      agentsOf.add(chosen);
    }
    int hops = 0;
    for (int entry = 0; entry < ExpectedScale.ENTRIES; entry++) {
      hops = Math.max(hops, farthest(entry, agentsOf, entriesOf));
    }
    return new Topology(
        mean(agentsOf), maximum(agentsOf), mean(entriesOf), maximum(entriesOf), hops);
  }

  /**
   * Returns the greatest distance from an entry by breadth-first search; agents are numbered after
   * all entries.
   */
  private static int farthest(
      int start, List<List<Integer>> agentsOf, List<List<Integer>> entriesOf) {
    int[] distance = new int[ExpectedScale.ENTRIES + ExpectedScale.AGENTS];
    Arrays.fill(distance, -1);
    ArrayDeque<Integer> next = new ArrayDeque<>(List.of(start));
    distance[start] = 0;
    int farthest = 0;
    while (!next.isEmpty()) {
      int node = next.poll();
      farthest = distance[node];
      boolean entry = node < ExpectedScale.ENTRIES;
      List<Integer> peers =
          entry ? agentsOf.get(node) : entriesOf.get(node - ExpectedScale.ENTRIES);
      for (int peer : peers) {
        int number = entry ? peer + ExpectedScale.ENTRIES : peer;
        if (distance[number] < 0) {
          distance[number] = distance[node] + 1;
          next.add(number);
        }
      }
    }
    return farthest;
  }

  private static double mean(List<List<Integer>> peers) {
    return peers.stream().mapToInt(List::size).average().orElse(0);
  }

  private static int maximum(List<List<Integer>> peers) {
    return peers.stream().mapToInt(List::size).max().orElse(0);
  }
}
