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

  private static final int ZONE_COUNT = 15;

  @Test
  void fewAgentsAreAllChosen() {
    assertEquals(18, ConnectionPlan.chooseAgents("entry-1", zone(0), agents(18)).size());
  }

  @Test
  void manyAgentsAreChosenByZone() {
    Set<String> chosen = ConnectionPlan.chooseAgents("entry-1", zone(0), agents(1_400));

    assertEquals(94 + 2 * (ZONE_COUNT - 1), chosen.size());
  }

  /** Guards against agents without connections from other zones when their zone has no entries. */
  @Test
  void entriesAreSpreadOverTheAgentsOfOtherZones() {
    Map<String, Integer> choiceCounts = new HashMap<>();
    for (int entry = 0; entry < 400; entry++) {
      AvailabilityZone zone = zone(entry % ZONE_COUNT);
      for (String agent : ConnectionPlan.chooseAgents("entry-" + entry, zone, agents(1_400))) {
        choiceCounts.merge(agent, 1, Integer::sum);
      }
    }

    assertEquals(1_400, choiceCounts.size());
    assertTrue(choiceCounts.values().stream().allMatch(count -> count > 26 && count < 60));
  }

  /** Guards against a wave of new connections when one agent leaves. */
  @Test
  void lossOfOneAgentOpensOneConnection() {
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
      agents.add(
          new AgentLocation("10.0." + i / 250 + "." + i % 250 + ":7400", zone(i % ZONE_COUNT)));
    }
    return agents;
  }

  private static AvailabilityZone zone(int number) {
    return new AvailabilityZone("zone-" + number);
  }
}
