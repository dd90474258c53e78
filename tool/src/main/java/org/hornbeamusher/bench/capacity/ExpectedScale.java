package org.hornbeamusher.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.membership.ConnectionPlan;

/** The scale that the users expect, and the resource budget that they set. */
final class ExpectedScale {

  static final int ENTRIES = 400;
  static final int AGENTS = 1_400;
  static final int ZONES = 15;
  static final int REGIONS = 5;
  static final int ADAPTERS = 47_000;
  static final int ADAPTERS_PER_DOCUMENT = 3_000;
  static final int DOCUMENTS = 32;
  static final double ACTIVATED_FRACTION_PER_HOUR = 0.12;
  static final double REQUESTS_PER_SECOND = 2_800;
  static final double CHANGES_PER_DAY = 3_300;
  static final int ADAPTER_SLOTS = 8;

  static final double BUDGET_CORES = 0.014;
  static final double BUDGET_BYTES = 32.0 * 1_024 * 1_024;
  static final double BUDGET_BYTES_PER_SECOND = 17_000;
  static final double TABLE_READS_PER_SECOND = 2_000;
  static final double TABLE_WRITES_PER_SECOND = 300;

  static final double SECONDS_PER_DAY = 86_400;
  static final double SECONDS_PER_HOUR = 3_600;

  private ExpectedScale() {}

  static AvailabilityZone zone(int number) {
    return new AvailabilityZone("z-" + number % ZONES);
  }

  /** Returns all agents, distributed evenly over the zones. */
  static List<ConnectionPlan.AgentLocation> agents() {
    List<ConnectionPlan.AgentLocation> agents = new ArrayList<>();
    for (int i = 0; i < AGENTS; i++) {
      agents.add(
          new ConnectionPlan.AgentLocation("10.0." + i / 250 + "." + i % 250 + ":7100", zone(i)));
    }
    return agents;
  }
}
