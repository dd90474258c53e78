package org.hornbeamusher.bench.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.hornbeamusher.documents.PollPlan;
import org.hornbeamusher.wire.WireSettings;

/** Works out the letter's size from slopes and prints it beside the budget. */
final class WorkedTable {

  private static final double MIB = 1_024.0 * 1_024;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_SECOND = 1e6;

  /** As the agent has it today: a changed load at most this often, an unchanged one once. */
  private static final double REPORTS_BUSY = 20;

  private static final double REPORTS_IDLE = 1;

  /** Announcement, question for the digest, digest, question for the document, document. */
  private static final int TRIPS_A_HOP = 5;

  /** Between the farthest regions. */
  private static final double ONE_WAY_MILLIS = 150;

  private static final double UNLIKELY = 0.001;

  private final PrintStream out;
  private final List<Slope> slopes;
  private final Topology topology;
  private final FrameSizes frames;
  private final TableCounts table;

  WorkedTable(
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
            + Letter.ENTRIES
            + " entries, "
            + Letter.AGENTS
            + " agents");
    memory();
    processor();
    traffic();
    tableCalls();
    spreading();
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
        Letter.ADAPTERS * slope("known adapter") + Letter.DOCUMENTS * slope("document of 5");
    final double routing =
        topology.mostAgentsOfEntry() * slope("endpoint in routing")
            + Letter.ADAPTERS * Letter.WAKING_AN_HOUR * slope("adapter in routing");
    final double entryPeers =
        topology.mostAgentsOfEntry() * slope("agent's connection at an entry, heap");
    final double agentPeers =
        topology.mostEntriesOfAgent() * slope("entry's connection at an agent, heap");
    final double budget = Letter.BUDGET_BYTES / MIB;
    out.println("memory for control, live objects (the JVM's own base is apart)");
    row("documents, any process", documents / MIB, "MiB", 0);
    row("routing, entry", routing / MIB, "MiB", 0);
    row("connections, entry", entryPeers / MIB, "MiB", 0);
    row("connections, agent", agentPeers / MIB, "MiB", 0);
    row("entry in all", (documents + routing + entryPeers) / MIB, "MiB", budget);
    row("agent in all", (documents + agentPeers) / MIB, "MiB", budget);
    final double mesh =
        Letter.AGENTS * slope("agent's connection at an entry, heap") + documents + routing;
    row("entry in all, if it connected to every agent", mesh / MIB, "MiB", budget);
  }

  private void processor() {
    final double budget = Letter.BUDGET_CORE * 100;
    final double changes = Letter.CHANGES_A_DAY / Letter.SECONDS_A_DAY;
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
        percent(change + entryIdle + REPORTS_BUSY * reportIn),
        "%",
        budget);
    row("agent in all, idle reports", percent(change + agentIdle + reportOut), "%", budget);
    row(
        "agent in all, load changing all the time",
        percent(change + agentIdle + REPORTS_BUSY * reportOut),
        "%",
        budget);
  }

  private static double percent(double micros) {
    return 100 * micros / MICROS_PER_SECOND;
  }

  private void traffic() {
    final double beats = MILLIS_PER_SECOND / WireSettings.DEFAULT.heartbeatIntervalMillis();
    final double both = 2 * beats * frames.heartbeat();
    final double budget = Letter.BUDGET_BYTES_PER_SECOND / 1_000;
    final int entryPeers = topology.mostAgentsOfEntry();
    final int agentPeers = topology.mostEntriesOfAgent();
    final double changes = Letter.CHANGES_A_DAY / Letter.SECONDS_A_DAY * 2 * frames.update();
    out.println("control traffic, KB a second, both directions");
    row("heartbeats, entry", entryPeers * both / 1_000, "KB/s", budget);
    row("heartbeats, agent", agentPeers * both / 1_000, "KB/s", budget);
    row("idle reports, entry", REPORTS_IDLE * entryPeers * frames.report() / 1_000, "KB/s", 0);
    row("idle reports, agent", REPORTS_IDLE * agentPeers * frames.report() / 1_000, "KB/s", 0);
    row("document changes, any process", changes / 1_000, "KB/s", 0);
    row(
        "entry in all, idle",
        (entryPeers * (both + REPORTS_IDLE * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "entry in all, every load changing all the time",
        (entryPeers * (both + REPORTS_BUSY * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "agent in all, idle",
        (agentPeers * (both + REPORTS_IDLE * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    row(
        "agent in all, load changing all the time",
        (agentPeers * (both + REPORTS_BUSY * frames.report()) + changes) / 1_000,
        "KB/s",
        budget);
    paced(entryPeers, agentPeers, changes, budget);
  }

  /**
   * What would fit: differences once a second as the agent's sign of life, the entry's each 2 s.
   */
  private void paced(int entryPeers, int agentPeers, double changes, double budget) {
    final double each = frames.difference() + frames.heartbeat() / 2.0;
    out.println("  planned: differences once a second for heartbeats, the entry's every 2 s");
    row("entry in all", (entryPeers * each + changes) / 1_000, "KB/s", budget);
    row("agent in all", (agentPeers * each + changes) / 1_000, "KB/s", budget);
  }

  private void tableCalls() {
    final double polls =
        Letter.ENTRIES
            * MILLIS_PER_SECOND
            / PollPlan.STANDARD.intervalMillis(Letter.ENTRIES)
            * table.poll().reads();
    final double changes = Letter.CHANGES_A_DAY / Letter.SECONDS_A_DAY;
    final double list = Letter.ENTRIES;
    final double share = Letter.TABLE_WRITES_PER_SECOND / table.claim().writes();
    out.println("calls of the platform a second, all processes together");
    row("polls for documents", polls, "reads/s", Letter.TABLE_READS_PER_SECOND);
    row("instance list, each entry once a second", list, "reads/s", 0);
    row(
        "changed documents read, if every entry read them",
        changes * Letter.ENTRIES * table.change().reads(),
        "reads/s",
        0);
    row("submitted documents", changes * table.submit().writes(), "writes/s", 0);
    row("writes of one claim, from claim to end", table.claim().writes(), "writes", 0);
    row("claims a second that the table can take", share, "claims/s", 0);
    row(
        "share of requests that may be non-repeatable",
        100 * share / Letter.REQUESTS_PER_SECOND,
        "%",
        0);
  }

  private void spreading() {
    final double first = MILLIS_PER_SECOND / PollPlan.STANDARD.readsPerSecond();
    final double within = -Math.log(UNLIKELY) * first;
    final double travel = topology.hops() * TRIPS_A_HOP * ONE_WAY_MILLIS;
    out.println("a change in force everywhere");
    row("connections from the first reader to the farthest process", topology.hops(), "hops", 0);
    row("first of all entries reads it after, mean", first, "ms", 0);
    row("the same, but for one change in a thousand", within, "ms", 0);
    row("travel, 5 trips a hop at 150 ms each", travel, "ms", 0);
    row("in all", (within + travel) / MILLIS_PER_SECOND, "s", 7);
  }

  private void loads() {
    final double waking = Letter.ADAPTERS * Letter.WAKING_AN_HOUR / Letter.SECONDS_AN_HOUR;
    final double lost = (double) Letter.AGENTS / Letter.ZONES * Letter.SLOTS;
    out.println("weight store, 2 loads a second");
    row("12% wake in an hour, each at one endpoint", waking, "loads/s", 2);
    row("the same at two endpoints each", 2 * waking, "loads/s", 2);
    row("a zone is lost: its adapters loaded elsewhere", lost, "loads", 0);
    row("the same, at 2 loads a second", lost / 2, "s", 0);
    row("the same, at 2 loads a second in each region", lost / 2 / Letter.REGIONS, "s", 0);
  }
}
