package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.membership.ConnectionPlan;
import org.hornbeamusher.membership.ConnectionPlan.AgentLocation;

/**
 * Simulates how long a change takes to reach 400 entries and 1,400 agents in 15 availability zones.
 *
 * <p>An earliest-arrival search over the connections that {@link ConnectionPlan} chooses: an entry
 * learns of the change by its own poll or from a neighbour, whose next heartbeat arrives within a
 * second and is followed by the requests for digest and document.
 */
class DocumentSpreadTest {

  private static final int ENTRIES = 400;
  private static final int AGENTS = 1_400;
  private static final int ZONES = 15;
  private static final double HEARTBEAT_MILLIS = 1_000;

  /** Heartbeat, two requests and two responses between distant regions, 150 ms each. */
  private static final double TRANSFER_MILLIS = 5 * 150;

  private static final double BOUND_MILLIS = 7_000;

  private record Arrival(int node, double millis) {}

  @Property(seed = "34", tries = 10)
  void changeReachesAllProcessesInTimeAtPlannedSize(
      @ForAll @LongRange(min = 1, max = 9_999) long seed) {
    double[] arrivals = arrivals(new Random(seed));

    double last = Arrays.stream(arrivals).max().orElseThrow();
    assertTrue(last <= BOUND_MILLIS, () -> "after " + last + " ms");
  }

  static double[] arrivals(Random random) {
    List<List<Integer>> neighbours = neighbours();
    double[] arrivals = new double[ENTRIES + AGENTS];
    Arrays.fill(arrivals, Double.MAX_VALUE);
    PriorityQueue<Arrival> next = new PriorityQueue<>(Comparator.comparing(Arrival::millis));
    for (int entry = 0; entry < ENTRIES; entry++) {
      double poll = PollPlan.STANDARD.delayMillis(ENTRIES, 0, random.nextDouble());
      next.add(new Arrival(entry, poll * random.nextDouble()));
    }
    while (!next.isEmpty()) {
      Arrival arrival = next.poll();
      if (arrivals[arrival.node] < Double.MAX_VALUE) {
        continue;
      }
      arrivals[arrival.node] = arrival.millis;
      for (int neighbour : neighbours.get(arrival.node)) {
        double wait = HEARTBEAT_MILLIS * random.nextDouble();
        next.add(new Arrival(neighbour, arrival.millis + wait + TRANSFER_MILLIS));
      }
    }
    return arrivals;
  }

  private static List<List<Integer>> neighbours() {
    List<AgentLocation> places = new ArrayList<>();
    Map<String, Integer> nodes = new HashMap<>();
    for (int agent = 0; agent < AGENTS; agent++) {
      String address = "10.1." + agent / 250 + "." + agent % 250 + ":7400";
      places.add(new AgentLocation(address, zone(agent)));
      nodes.put(address, ENTRIES + agent);
    }
    List<List<Integer>> neighbours = new ArrayList<>();
    for (int node = 0; node < ENTRIES + AGENTS; node++) {
      neighbours.add(new ArrayList<>());
    }
    for (int entry = 0; entry < ENTRIES; entry++) {
      for (String address : ConnectionPlan.chooseAgents("entry-" + entry, zone(entry), places)) {
        neighbours.get(entry).add(nodes.get(address));
        neighbours.get(nodes.get(address)).add(entry);
      }
    }
    return neighbours;
  }

  private static AvailabilityZone zone(int number) {
    return new AvailabilityZone("zone-" + number % ZONES);
  }
}
