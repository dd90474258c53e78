package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.membership.ConnectionPlan.AgentLocation;
import org.junit.jupiter.api.Test;

class ConnectionPlanTest {

  private static final int ZONES = 15;

  @Test
  void fewAgentsAreAllConnected() {
    assertEquals(18, ConnectionPlan.chooseAgents("entry-1", zone(0), agents(18)).size());
  }

  @Test
  void manyAgentsAreConnectedByZone() {
    Set<String> chosen = ConnectionPlan.chooseAgents("entry-1", zone(0), agents(1_400));

    assertEquals(94 + 2 * (ZONES - 1), chosen.size());
  }

  /** Every agent must be known to entries of other zones, or a zone without entries is lost. */
  @Test
  void entriesSpreadOverTheAgentsOfOtherZones() {
    Map<String, Integer> chosenBy = new HashMap<>();
    for (int entry = 0; entry < 400; entry++) {
      AvailabilityZone zone = zone(entry % ZONES);
      for (String agent : ConnectionPlan.chooseAgents("entry-" + entry, zone, agents(1_400))) {
        chosenBy.merge(agent, 1, Integer::sum);
      }
    }

    assertEquals(1_400, chosenBy.size());
    assertTrue(chosenBy.values().stream().allMatch(count -> count > 26 && count < 60));
  }

  /** An agent goes; the entry must not open connections to agents it did not know before. */
  @Test
  void lossOfOneAgentChangesOneConnection() {
    List<AgentLocation> agents = agents(1_400);
    Set<String> before = ConnectionPlan.chooseAgents("entry-1", zone(0), agents);
    String lost =
        agents.stream()
            .filter(place -> !place.zone().equals(zone(0)))
            .map(AgentLocation::address)
            .filter(before::contains)
            .findFirst()
            .orElseThrow();
    agents.removeIf(place -> place.address().equals(lost));

    Set<String> opened = new HashSet<>(ConnectionPlan.chooseAgents("entry-1", zone(0), agents));
    opened.removeAll(before);

    assertEquals(1, opened.size());
  }

  private static List<AgentLocation> agents(int count) {
    List<AgentLocation> agents = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      agents.add(new AgentLocation("10.0." + i / 250 + "." + i % 250 + ":7400", zone(i % ZONES)));
    }
    return agents;
  }

  private static AvailabilityZone zone(int number) {
    return new AvailabilityZone("zone-" + number);
  }
}
