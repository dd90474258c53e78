package org.hornbeamusher.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.membership.ConnectionPlan;

/**
 * The connections that {@link ConnectionPlan} opens at the letter's size.
 *
 * @param agentsOfEntry agents that one entry is connected to, the mean
 * @param mostAgentsOfEntry the greatest number
 * @param entriesOfAgent entries that one agent is connected to, the mean
 * @param mostEntriesOfAgent the greatest number
 * @param hops connections between the entry that reads a change first and the farthest process
 */
record Topology(
    double agentsOfEntry,
    int mostAgentsOfEntry,
    double entriesOfAgent,
    int mostEntriesOfAgent,
    int hops) {

  static Topology plan() {
    List<ConnectionPlan.AgentLocation> agents = Letter.agents();
    Map<String, Integer> numbers = new HashMap<>();
    for (int i = 0; i < agents.size(); i++) {
      numbers.put(agents.get(i).address(), i);
    }
    List<List<Integer>> agentsOf = new ArrayList<>();
    List<List<Integer>> entriesOf = new ArrayList<>();
    agents.forEach(agent -> entriesOf.add(new ArrayList<>()));
    for (int entry = 0; entry < Letter.ENTRIES; entry++) {
      List<Integer> chosen = new ArrayList<>();
      for (String address :
          ConnectionPlan.chooseAgents("entry-" + entry, Letter.zone(entry), agents)) {
        chosen.add(numbers.get(address));
        entriesOf.get(numbers.get(address)).add(entry);
      }
      agentsOf.add(chosen);
    }
    int hops = 0;
    for (int entry = 0; entry < Letter.ENTRIES; entry++) {
      hops = Math.max(hops, farthest(entry, agentsOf, entriesOf));
    }
    return new Topology(mean(agentsOf), most(agentsOf), mean(entriesOf), most(entriesOf), hops);
  }

  /** Breadth first from one entry; entries are numbered first, agents after them. */
  private static int farthest(
      int start, List<List<Integer>> agentsOf, List<List<Integer>> entriesOf) {
    int[] distance = new int[Letter.ENTRIES + Letter.AGENTS];
    Arrays.fill(distance, -1);
    ArrayDeque<Integer> next = new ArrayDeque<>(List.of(start));
    distance[start] = 0;
    int farthest = 0;
    while (!next.isEmpty()) {
      int node = next.poll();
      farthest = distance[node];
      boolean entry = node < Letter.ENTRIES;
      List<Integer> peers = entry ? agentsOf.get(node) : entriesOf.get(node - Letter.ENTRIES);
      for (int peer : peers) {
        int number = entry ? peer + Letter.ENTRIES : peer;
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

  private static int most(List<List<Integer>> peers) {
    return peers.stream().mapToInt(List::size).max().orElse(0);
  }
}
