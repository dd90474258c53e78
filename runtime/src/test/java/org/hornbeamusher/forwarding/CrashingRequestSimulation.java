package org.hornbeamusher.forwarding;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.quarantine.RequestContent;
import org.hornbeamusher.suspects.CrashRecordCodec;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;
import org.hornbeamusher.wire.Message;

/**
 * Many entries in simulated time, one request that crashes each endpoint that runs it and comes
 * back to any entry, and other requests that run beside it. Entries restart, lose their agents and
 * the table, and endpoints end for other causes.
 */
final class CrashingRequestSimulation {

  private static final RequestContent CRASHING = new RequestContent(1, 100);
  private static final InetSocketAddress RELAY = InetSocketAddress.createUnresolved("relay", 1);
  private static final long STEP_MILLIS = 10;
  private static final long RUN_MILLIS = 300;
  private static final long CRASH_AFTER_MILLIS = 80;
  private static final long RESTART_MILLIS = 3_000;
  private static final long TABLE_READ_MILLIS = 200;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final InMemoryTable table = new InMemoryTable();
  private final Random random;
  private final List<Entry> entries = new ArrayList<>();
  private final List<EndpointView> endpoints = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();

  /** Whether the caller of the crashing request leaves just before the endpoint crashes. */
  private boolean callersLeave;

  /** What the relaying agent remembers; a new one after its restart. */
  private CrashHistory relay = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);

  private boolean relayUp = true;
  private int incarnations;
  private long contents = 1_000;
  private final List<Long> crashes = new ArrayList<>();
  private final List<Long> sends = new ArrayList<>();
  private int refusedOthers;
  private int servedOthers;

  CrashingRequestSimulation(int entryCount, int endpointCount, long seed) {
    random = new Random(seed);
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(newIncarnation());
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry());
    }
  }

  private EndpointView newIncarnation() {
    EndpointIncarnation incarnation =
        new EndpointIncarnation(new EndpointId("e-" + ++incarnations), 0);
    Endpoint endpoint =
        new Endpoint(
            incarnation, "s", URI.create("http://127.0.0.1:1"), "z", 8, false, 0, Set.of());
    return new EndpointView(endpoint, 0, 0, new EndpointAvailability());
  }

  /** Replaces an entry by a new process; its requests are lost. */
  void restartEntry(int index) {
    runs.removeIf(run -> run.entry == entries.get(index));
    entries.set(index, new Entry());
  }

  /** Replaces the agents by new processes, which remember nothing. */
  void restartAgents() {
    relay = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).reports.closed(RELAY);
      entries.get(i).connectRelay();
    }
  }

  /** Stops all agents for good. */
  void stopAgents() {
    relayUp = false;
    entries.forEach(entry -> entry.reports.closed(RELAY));
  }

  void leaveBeforeCrashes() {
    callersLeave = true;
  }

  void setTableDown(boolean down) {
    table.down(down);
  }

  /** Ends an endpoint for a cause that is not a request. */
  void endEndpoint() {
    end(random.nextInt(endpoints.size()));
  }

  /** Runs until a time; the crashing request is sent every so often, at any entry. */
  void runUntil(long untilMillis, int crashIntervalMillis) {
    long nextCrashMillis = loop.clock().millis();
    while (loop.clock().millis() < untilMillis) {
      long now = loop.clock().millis();
      if (now >= nextCrashMillis) {
        nextCrashMillis = now + crashIntervalMillis / 2 + random.nextInt(crashIntervalMillis);
        send(entries.get(random.nextInt(entries.size())), CRASHING, 1);
      }
      for (int i = 0; i < 1 + entries.size() / 10; i++) {
        Entry entry = entries.get(random.nextInt(entries.size()));
        send(entry, new RequestContent(++contents, 50 + random.nextInt(100)), 2);
      }
      if (now % TABLE_READ_MILLIS == 0) {
        readTable();
      }
      finishRuns(now);
      loop.runUntil(now + STEP_MILLIS);
    }
  }

  private void send(Entry entry, RequestContent content, int triesLeft) {
    boolean crashing = content.equals(CRASHING);
    if (entry.crashes.refusal("r", content.bodyBytes(), () -> content).isPresent()) {
      refusedOthers += crashing ? 0 : 1;
      return;
    }
    EndpointView endpoint = endpoints.get(random.nextInt(endpoints.size()));
    if (crashing) {
      sends.add(loop.clock().millis());
    }
    if (crashing && callersLeave) {
      loop.after(
          CRASH_AFTER_MILLIS - STEP_MILLIS, () -> entry.crashes.cancelled(endpoint, content));
    }
    runs.add(new Run(entry, content, endpoint, loop.clock().millis(), triesLeft));
  }

  private void finishRuns(long now) {
    for (Run run : List.copyOf(runs)) {
      boolean crashing = run.content.equals(CRASHING);
      if (!runs.contains(run)) {
        continue;
      }
      if (crashing && now - run.startMillis >= CRASH_AFTER_MILLIS) {
        crashes.add(now);
        int index = endpoints.indexOf(run.endpoint);
        if (index >= 0) {
          end(index);
        }
      } else if (!crashing && now - run.startMillis >= RUN_MILLIS) {
        runs.remove(run);
        servedOthers++;
        run.entry.crashes.responded(run.endpoint.incarnation(), run.startMillis);
        run.entry.crashes.completed(run.content.bodyBytes(), () -> run.content);
      }
    }
  }

  private void end(int index) {
    EndpointView gone = endpoints.get(index);
    endpoints.remove(index);
    loop.after(RESTART_MILLIS, () -> endpoints.add(newIncarnation()));
    List<Run> atEndpoint = runs.stream().filter(run -> run.endpoint == gone).toList();
    runs.removeAll(atEndpoint);
    List<Run> lost = new ArrayList<>(atEndpoint);
    if (callersLeave) {
      lost.removeIf(run -> run.content.equals(CRASHING));
    }
    lost.forEach(run -> run.entry.crashes.connectionLost(gone, run.content));
    for (Run run : lost) {
      if (run.triesLeft > 1 && !endpoints.isEmpty()) {
        send(run.entry, run.content, run.triesLeft - 1);
      }
    }
    long reportMillis = random.nextInt(400);
    for (Entry entry : entries) {
      loop.after(
          reportMillis, () -> entry.crashes.incarnationEnded(gone.incarnation(), "not-seen"));
    }
  }

  private void readTable() {
    table
        .scan(CrashRecordTable.NAME, "", "", 10_000)
        .thenAccept(
            rows -> {
              List<ChangedRow> changed = rows.stream().map(CrashingRequestSimulation::row).toList();
              entries.forEach(entry -> entry.reports.tableRead(new TableChanges(changed, 1, true)));
            });
  }

  private static ChangedRow row(Row row) {
    return new ChangedRow(row.key().key(), new RowContent.Present(row.value(), row.revision()));
  }

  /**
   * Counts the sends of the crashing request that the third crash should have prevented.
   *
   * @param graceMillis time until every entry must know of it
   * @return sends later than that
   */
  long lateSends(long graceMillis) {
    return crashes.size() < 3
        ? 0
        : sends.stream().filter(at -> at > crashes.get(2) + graceMillis).count();
  }

  int crashes() {
    return crashes.size();
  }

  int refusedOthers() {
    return refusedOthers;
  }

  int servedOthers() {
    return servedOthers;
  }

  private static final class Run {

    private final Entry entry;
    private final RequestContent content;
    private final EndpointView endpoint;
    private final long startMillis;
    private final int triesLeft;

    Run(Entry entry, RequestContent content, EndpointView endpoint, long start, int triesLeft) {
      this.entry = entry;
      this.content = content;
      this.endpoint = endpoint;
      this.startMillis = start;
      this.triesLeft = triesLeft;
    }
  }

  /** One process of an entry. */
  private final class Entry {

    private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    private final CrashReports reports =
        new CrashReports(
            history, new CrashRecordTable(table), this::sendToRelay, loop, loop.clock());
    private final RequestCrashes crashes =
        new RequestCrashes(
            history,
            reports,
            endpoint ->
                CompletableFuture.completedFuture(
                    endpoints.contains(endpoint)
                        ? EndpointCheck.Result.ALIVE
                        : EndpointCheck.Result.ENDED),
            new ForwardMetrics(new MetricRegistry()),
            loop,
            loop.clock());

    Entry() {
      if (relayUp) {
        connectRelay();
      }
    }

    void connectRelay() {
      reports.opened(RELAY);
      relay.openRecords().forEach(this::receive);
    }

    private void sendToRelay(InetSocketAddress agent, Message message) {
      CrashRecord record =
          CrashRecordCodec.decode(((Message.CrashReport) message).record()).orElseThrow();
      loop.after(
          1,
          () ->
              relay
                  .merge(record, loop.clock().millis())
                  .ifPresent(merged -> entries.forEach(other -> other.receive(merged))));
    }

    private void receive(CrashRecord record) {
      if (relayUp) {
        reports.received(RELAY, new Message.CrashReport(CrashRecordCodec.encode(record)));
      }
    }
  }
}
