package org.hornbeamusher.bench.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.hornbeamusher.documents.PollPlan;
import org.hornbeamusher.wire.WireSettings;

/** Computes the resource usage at the expected scale and prints it next to the budget. */
final class CapacityEstimate {

  private static final double MIB = 1_024.0 * 1_024;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_SECOND = 1e6;

  /** Load reports per second of an agent whose load always changes; the limit in the agent. */
  private static final double BUSY_REPORTS_PER_SECOND = 20;

  /** Rate of load reports of an agent whose load does not change. */
  private static final double IDLE_REPORTS_PER_SECOND = 1;

  /** One-way messages per hop: announcement, digest request, digest, document request, document. */
  private static final int TRIPS_PER_HOP = 5;

  /** One-way network latency between the most distant regions. */
  private static final double ONE_WAY_MILLIS = 150;

  private static final double TAIL_PROBABILITY = 0.001;

  private final PrintStream out;
  private final List<Slope> slopes;
  private final Topology topology;
  private final FrameSizes frames;
  private final TableCounts table;

  CapacityEstimate(
      PrintStream out,
      List<Slope> slopes,
      Topology topology,
      FrameSizes frames,
      TableCounts table) {
    this.out = out;
    this.slopes = slopes;
    this.topology = topology;
    this.frames = frames;
    this.table = table;
  }

  void print() {
    out.println(
        "worked out: slope x count at "
            + ExpectedScale.ENTRIES
            + " entries, "
            + ExpectedScale.AGENTS
            + " agents");
    memory();
    processor();
    traffic();
    tableCalls();
    propagation();
    loads();
  }

  private double slope(String name) {
    return slopes.stream()
        .filter(slope -> slope.name().startsWith(name))
        .findFirst()
        .orElseThrow()
        .value();
  }

  private void row(String what, double value, String unit, double budget) {
    String verdict = budget <= 0 ? "" : value <= budget ? "fits" : "DOES NOT FIT";
    String limit = budget <= 0 ? "" : String.format(Locale.ROOT, "of %.1f", budget);
    out.printf(Locale.ROOT, "  %-58s %10.2f %-9s %-12s %s%n", what, value, unit, limit, verdict);
  }

  private void memory() {
    final double documents =
        ExpectedScale.ADAPTERS * slope("known adapter")
            + ExpectedScale.DOCUMENTS * slope("document of 5");
    final double routing =
        topology.mostAgentsOfEntry() * slope("endpoint in routing")
            + ExpectedScale.ADAPTERS
                * ExpectedScale.ACTIVATED_FRACTION_PER_HOUR
                * slope("adapter in routing");
    final double entryPeers =
        topology.mostAgentsOfEntry() * slope("agent's connection at an entry, heap");
    final double agentPeers =
        topology.mostEntriesOfAgent() * slope("entry's connection at an agent, heap");
    final double budget = ExpectedScale.BUDGET_BYTES / MIB;
    out.println("memory for control, live objects (the JVM's own base is apart)");
    row("documents, any process", documents / MIB, "MiB", 0);
    row("routing, entry", routing / MIB, "MiB", 0);
    row("connections, entry", entryPeers / MIB, "MiB", 0);
    row("connections, agent", agentPeers / MIB, "MiB", 0);
    row("entry in all", (documents + routing + entryPeers) / MIB, "MiB", budget);
    row("agent in all", (documents + agentPeers) / MIB, "MiB", budget);
    final double mesh =
        ExpectedScale.AGENTS * slope("agent's connection at an entry, heap") + documents + routing;
    row("entry in all, if it connected to every agent", mesh / MIB, "MiB", budget);
  }

  private void processor() {
    final double budget = ExpectedScale.BUDGET_CORES * 100;
    final double changes = ExpectedScale.CHANGES_PER_DAY / ExpectedScale.SECONDS_PER_DAY;
    final double change = changes * slope("change pulled");
    final double entryIdle =
        topology.mostAgentsOfEntry() * slope("agent's connection at an entry, idle");
    final double agentIdle =
        topology.mostEntriesOfAgent() * slope("entry's connection at an agent, idle");
    final double reportIn = topology.mostAgentsOfEntry() * slope("load report decoded");
    final double reportOut = topology.mostEntriesOfAgent() * slope("load report encoded");
    out.println("processor for control, percent of a core");
    row("document changes, any process", percent(change), "%", 0);
    row("heartbeats, entry", percent(entryIdle), "%", 0);
    row("heartbeats, agent", percent(agentIdle), "%", 0);
    row("entry in all, idle reports", percent(change + entryIdle + reportIn), "%", budget);
    row(
        "entry in all, every load changing all the time",
        percent(change + entryIdle + BUSY_REPORTS_PER_SECOND * reportIn),
        "%",
        budget);
    row("agent in all, idle reports", percent(change + agentIdle + reportOut), "%", budget);
    row(
        "agent in all, load changing all the time",
        percent(change + agentIdle + BUSY_REPORTS_PER_SECOND * reportOut),
        "%",
        budget);
  }

  private static double percent(double micros) {
    return 100 * micros / MICROS_PER_SECOND;
  }

  private void traffic() {
    final double beats = MILLIS_PER_SECOND / WireSettings.DEFAULT.heartbeatIntervalMillis();
    final double both = 2 * beats * frames.heartbeat();
    final double budget = ExpectedScale.BUDGET_BYTES_PER_SECOND / 1_000;
    final int entryPeers = topology.mostAgentsOfEntry();
    final int agentPeers = topology.mostEntriesOfAgent();
    final double changes =
        ExpectedScale.CHANGES_PER_DAY / ExpectedScale.SECONDS_PER_DAY * 2 * frames.update();
    out.println("control traffic, KB a second, both directions");
    row("heartbeats, entry", entryPeers * both / 1_000, "KB/s", budget);
    row("heartbeats, agent", agentPeers * both / 1_000, "KB/s", budget);
    row(
        "idle reports, entry",
        IDLE_REPORTS_PER_SECOND * entryPeers * frames.report() / 1_000,
        "KB/s",
        0);
    row(
        "idle reports, agent",
        IDLE_REPORTS_PER_SECOND * agentPeers * frames.report() / 1_000,
        "KB/s",
        0);
    row("document changes, any process", changes / 1_000, "KB/s", 0);
    row(
        "entry in all, idle",
        (entryPeers * (both + IDLE_REPORTS_PER_SECOND * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "entry in all, every load changing all the time",
        (entryPeers * (both + BUSY_REPORTS_PER_SECOND * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "agent in all, idle",
        (agentPeers * (both + IDLE_REPORTS_PER_SECOND * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "agent in all, load changing all the time",
        (agentPeers * (both + BUSY_REPORTS_PER_SECOND * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    plannedTraffic(entryPeers, agentPeers, changes, budget);
  }

  /**
   * Prints the planned traffic, which would fit the budget: agents send incremental load reports
   * once a second as heartbeats, and entries send a heartbeat every 2 s.
   */
  private void plannedTraffic(int entryPeers, int agentPeers, double changes, double budget) {
    final double each = frames.difference() + frames.heartbeat() / 2.0;
    out.println("  planned: differences once a second for heartbeats, the entry's every 2 s");
    row("entry in all", (entryPeers * each + changes) / 1_000, "KB/s", budget);
    row("agent in all", (agentPeers * each + changes) / 1_000, "KB/s", budget);
  }

  private void tableCalls() {
    final double polls =
        ExpectedScale.ENTRIES
            * MILLIS_PER_SECOND
            / PollPlan.STANDARD.intervalMillis(ExpectedScale.ENTRIES)
            * table.poll().reads();
    final double changes = ExpectedScale.CHANGES_PER_DAY / ExpectedScale.SECONDS_PER_DAY;
    final double list = ExpectedScale.ENTRIES;
    final double share = ExpectedScale.TABLE_WRITES_PER_SECOND / table.claim().writes();
    out.println("calls of the platform a second, all processes together");
    row("polls for documents", polls, "reads/s", ExpectedScale.TABLE_READS_PER_SECOND);
    row("instance list, each entry once a second", list, "reads/s", 0);
    row(
        "changed documents read, if every entry read them",
        changes * ExpectedScale.ENTRIES * table.change().reads(),
        "reads/s",
        0);
    row("submitted documents", changes * table.submit().writes(), "writes/s", 0);
    row("writes of one claim, from claim to end", table.claim().writes(), "writes", 0);
    row("claims a second that the table can take", share, "claims/s", 0);
    row(
        "share of requests that may be non-repeatable",
        100 * share / ExpectedScale.REQUESTS_PER_SECOND,
        "%",
        0);
  }

  private void propagation() {
    final double first = MILLIS_PER_SECOND / PollPlan.STANDARD.readsPerSecond();
    final double within = -Math.log(TAIL_PROBABILITY) * first;
    final double travel = topology.hops() * TRIPS_PER_HOP * ONE_WAY_MILLIS;
    out.println("a change in force everywhere");
    row("connections from the first reader to the farthest process", topology.hops(), "hops", 0);
    row("first of all entries reads it after, mean", first, "ms", 0);
    row("the same, but for one change in a thousand", within, "ms", 0);
    row("travel, 5 trips a hop at 150 ms each", travel, "ms", 0);
    row("in all", (within + travel) / MILLIS_PER_SECOND, "s", 7);
  }

  private void loads() {
    final double waking =
        ExpectedScale.ADAPTERS
            * ExpectedScale.ACTIVATED_FRACTION_PER_HOUR
            / ExpectedScale.SECONDS_PER_HOUR;
    final double lost =
        (double) ExpectedScale.AGENTS / ExpectedScale.ZONES * ExpectedScale.ADAPTER_SLOTS;
    out.println("weight store, 2 loads a second");
    row("12% wake in an hour, each at one endpoint", waking, "loads/s", 2);
    row("the same at two endpoints each", 2 * waking, "loads/s", 2);
    row("a zone is lost: its adapters loaded elsewhere", lost, "loads", 0);
    row("the same, at 2 loads a second", lost / 2, "s", 0);
    row("the same, at 2 loads a second in each region", lost / 2 / ExpectedScale.REGIONS, "s", 0);
  }
}
