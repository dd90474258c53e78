package org.hornbeamusher.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.OrderResult;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.routes.EngineSpec;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Behaviour of an agent when its engine restarts under the same id. */
class EngineRestartTest {

  private static final EndpointId ID = new EndpointId("e");
  private static final long STEP_MILLIS = 10;

  private final ManualClock clock = new ManualClock(0);
  private final Loop loop = new Loop();
  private final InMemoryTable table = new InMemoryTable();
  private final Engine engine = new Engine();
  private final SidecarDaemon agent =
      new SidecarDaemon(
          new SidecarSettings(
              "agent-1",
              "a",
              new InetSocketAddress("127.0.0.1", 0),
              Optional.empty(),
              "e",
              ServingFeatures.ALL),
          engine,
          new FencingNumberAllocator(table, ID, "agent-1"),
          new NoEntries(),
          loop,
          clock);

  @BeforeEach
  void start() {
    agent.start();
    agent.updateEngineSpec(new EngineSpec(8, 100_000, 2, List.of("m")));
  }

  @AfterEach
  void stop() {
    agent.stop();
    advance(STEP_MILLIS);
  }

  /**
   * Guards against waiting for a load of the base model that was lost in an engine restart: the
   * agent would order nothing more, and the engine would serve no requests. Each incarnation must
   * be ordered to load once, based on its own report.
   */
  @Test
  void loadIsOrderedAgainAfterRestart() {
    advance(500);
    assertEquals(1, engine.accepted.size());
    engine.restart(50);
    advance(1_000);
    assertEquals(2, engine.accepted.size());
    assertEquals(2, engine.idRequests);
  }

  /**
   * Guards against a late order to the previous incarnation that the next one would accept because
   * its id and its count of orders match those in the order. Only the fencing number differs.
   */
  @Test
  void ordersAfterRestartHaveHigherFencingNumbers() {
    advance(500);
    engine.restart(200);
    advance(1_000);
    assertTrue(engine.accepted.get(1) > engine.accepted.get(0), engine.accepted.toString());
  }

  /**
   * The engine restarts while the table of fencing numbers is unavailable. Loads continue with a
   * higher number, which is written to the table when it is available again.
   */
  @Test
  void loadIsOrderedAfterRestartWhileTableIsDown() {
    advance(500);
    table.down(true);
    engine.restart(200);
    advance(1_000);
    assertEquals(2, engine.accepted.size());
    long used = engine.accepted.get(1);
    assertTrue(used > engine.accepted.get(0));
    table.down(false);
    advance(5_000);
    assertTrue(new FencingNumberAllocator(table, ID, "agent-2").acquire(0).join().value() > used);
  }

  /**
   * The engine restarts while its result of an order is in transit. The accepted order was lost
   * with the previous incarnation, and the load must be ordered again.
   */
  @Test
  void resultOfPreviousIncarnationIsIgnored() {
    engine.delayResults = true;
    advance(500);
    assertEquals(1, engine.accepted.size());
    engine.restart(200);
    engine.delayResults = false;
    engine.delayedResults.forEach(result -> result.complete(OrderResult.ACCEPTED));
    advance(1_000);
    assertEquals(2, engine.accepted.size());
  }

  /** The engine restarts twice between two reports; the agent handles this as one restart. */
  @Test
  void twoRestartsBetweenReportsCountAsOne() {
    advance(500);
    engine.restart(200);
    engine.restart(20);
    advance(1_000);
    assertEquals(2, engine.accepted.size());
    assertEquals(2, engine.idRequests);
  }

  /**
   * Guards against mistaking an outage of several seconds for a restart: the same incarnation must
   * not be asked for its id or ordered to load again.
   */
  @Test
  void outageIsNoRestart() {
    advance(500);
    engine.finishLoad();
    engine.unreachable = true;
    advance(3_000);
    engine.unreachable = false;
    advance(1_000);
    assertEquals(1, engine.accepted.size());
    assertEquals(1, engine.idRequests);
  }

  /** The engine restarts while the agent cannot reach it. */
  @Test
  void restartDuringOutageIsDetected() {
    advance(500);
    engine.unreachable = true;
    advance(3_000);
    engine.restart(50);
    engine.unreachable = false;
    advance(1_000);
    assertEquals(2, engine.accepted.size());
    assertEquals(2, engine.idRequests);
  }

  /** The engine restarts while it drains, and takes work again. */
  @Test
  void drainingEngineIsOrderedAfterRestart() {
    advance(500);
    engine.finishLoad();
    engine.leaving = true;
    advance(500);
    engine.restart(200);
    advance(1_000);
    assertEquals(2, engine.accepted.size());
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      loop.runDue();
      clock.advance(STEP_MILLIS);
    }
  }

  /** Loads its base model when ordered to, and is busy until {@link #finishLoad}. */
  private static final class Engine implements EngineClient {

    private final List<Long> accepted = new ArrayList<>();
    private final List<CompletableFuture<OrderResult>> delayedResults = new ArrayList<>();
    private boolean delayResults;
    private boolean unreachable;
    private boolean leaving;
    private int idRequests;
    private long start = 100;
    private long sequence;
    private boolean busy;
    private Set<String> models = Set.of();

    void restart(long newStart) {
      start = newStart;
      sequence = 0;
      busy = false;
      leaving = false;
      models = Set.of();
    }

    void finishLoad() {
      busy = false;
      models = Set.of("m");
    }

    @Override
    public CompletableFuture<EngineReport> report(boolean mayReuseConnection) {
      return unreachable
          ? unreachable()
          : CompletableFuture.completedFuture(
              new EngineReport(models, Map.of(), Set.of(), busy, sequence, leaving, start));
    }

    @Override
    public CompletableFuture<EndpointId> id() {
      idRequests++;
      return unreachable ? unreachable() : CompletableFuture.completedFuture(ID);
    }

    @Override
    public CompletableFuture<OrderResult> order(
        EngineOrder order, EndpointId engine, long expectedSequence, FencingNumber fencing) {
      if (expectedSequence != sequence) {
        return CompletableFuture.completedFuture(OrderResult.CONFLICT);
      }
      sequence++;
      busy = true;
      accepted.add(fencing.value());
      CompletableFuture<OrderResult> result = new CompletableFuture<>();
      if (delayResults) {
        delayedResults.add(result);
      } else {
        result.complete(OrderResult.ACCEPTED);
      }
      return result;
    }

    private static <T> CompletableFuture<T> unreachable() {
      return CompletableFuture.failedFuture(
          HornbeamusherException.notRun(FailureType.CONNECT_FAILED, "engine"));
    }
  }

  /** A transport to which no entry connects. */
  private static final class NoEntries implements WireTransport, WireService {

    @Override
    public WireService listen(InetSocketAddress address, Message.Hello own, WireListener listener) {
      return this;
    }

    @Override
    public WireService connect(
        InetSocketAddress address, Message.Hello own, WireListener listener) {
      return this;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {}
  }

  /** An event loop that runs due tasks when the test calls {@link #runDue}. */
  private final class Loop implements EventLoop {

    private final Queue<Runnable> ready = new ArrayDeque<>();
    private final List<ScheduledTask> scheduled = new ArrayList<>();

    @Override
    public void execute(Runnable task) {
      ready.add(task);
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      ScheduledTask timer = new ScheduledTask(clock.millis() + delayMillis, task);
      scheduled.add(timer);
      return () -> scheduled.remove(timer);
    }

    void runDue() {
      List<ScheduledTask> due =
          scheduled.stream().filter(one -> one.atMillis <= clock.millis()).toList();
      scheduled.removeAll(due);
      due.forEach(one -> ready.add(one.task));
      for (Runnable task = ready.poll(); task != null; task = ready.poll()) {
        task.run();
      }
    }

    private record ScheduledTask(long atMillis, Runnable task) {}
  }
}
