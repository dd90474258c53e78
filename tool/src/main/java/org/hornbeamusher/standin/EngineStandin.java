package org.hornbeamusher.standin;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Stand-in of an engine with its HTTP interface.
 *
 * <p>A single thread steps the batch and executes orders one after the other. A frozen engine
 * accepts connections but processes nothing, like a paused process. An engine that restarts closes
 * every connection, like a process that has ended.
 */
public final class EngineStandin {

  private final EngineSettings settings;
  private final WeightStoreStandin store;
  private final Clock clock;
  private final CacheEvents events;
  private final EngineCore core;
  private final StandinServer server;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("engine").factory());

  /** Tasks that arrived while the engine is frozen; null when it is not. Confined to the loop. */
  private ArrayDeque<Runnable> deferredTasks;

  /** Whether a step is scheduled. Confined to the loop. */
  private boolean stepScheduled;

  /**
   * The state that {@code /load} returns now, and the one that replaces it. Confined to the loop.
   */
  private EngineState currentReport;

  private EngineState nextReport;

  private volatile String incarnation = newIncarnation();
  private volatile boolean unreachable;

  /**
   * Creates an engine without resident adapters.
   *
   * @param settings the engine's settings
   * @param store the store that weights are loaded from
   * @param clock source of the time of cache events
   */
  public EngineStandin(EngineSettings settings, WeightStoreStandin store, Clock clock) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.events = new CacheEvents(settings.eventDelayMillis(), settings.eventDropInterval());
    this.core = new EngineCore(settings, new PrefixCache(settings.cacheBlocks(), events));
    this.server = new StandinServer(settings.host(), settings.port(), new EngineHttp(this));
    this.currentReport = core.state(incarnation);
    this.nextReport = currentReport;
  }

  /** Starts listening. */
  public void start() {
    server.start();
    long lag = Math.max(1, settings.reportLagMillis());
    loop.scheduleAtFixedRate(this::updateReport, lag, lag, TimeUnit.MILLISECONDS);
  }

  /** Stops; open responses are aborted. */
  public void stop() {
    server.stop();
    loop.shutdownNow();
  }

  /**
   * Returns the engine's address; known once it is started.
   *
   * @return for example {@code http://127.0.0.1:41001}
   */
  public URI uri() {
    return server.uri();
  }

  /**
   * Crashes the engine: it loses all state, is unreachable for {@code restartMillis} and then has a
   * new incarnation.
   */
  public void restart() {
    unreachable = true;
    loop.execute(
        () -> {
          deferredTasks = null;
          core.restart();
          incarnation = newIncarnation();
          loop.schedule(
              () -> {
                unreachable = false;
              },
              settings.restartMillis(),
              TimeUnit.MILLISECONDS);
        });
  }

  /**
   * Freezes or unfreezes the engine. Tasks that arrived while it was frozen run when it is
   * unfrozen.
   *
   * @param frozen whether the engine stops processing
   */
  public void freeze(boolean frozen) {
    loop.execute(
        () -> {
          if (frozen && deferredTasks == null) {
            deferredTasks = new ArrayDeque<>();
          } else if (!frozen && deferredTasks != null) {
            ArrayDeque<Runnable> deferred = deferredTasks;
            deferredTasks = null;
            deferred.forEach(Runnable::run);
            scheduleStep();
          }
        });
  }

  /**
   * Makes the next loads fail.
   *
   * @param count number of loads that fail
   */
  public void failNextLoads(int count) {
    loop.execute(() -> core.failNextLoads(count));
  }

  /**
   * Makes adapters resident without fetching their weights, as in an engine that has run for a
   * while.
   *
   * @param adapters the adapters; those beyond the engine's slots are ignored
   */
  public void makeResident(Collection<AdapterRef> adapters) {
    loop.execute(() -> core.makeResident(adapters));
  }

  /**
   * Closes the connection of the next request that starts; the request can be resumed.
   *
   * @param tokens number of generated tokens after which the connection is closed
   */
  public void cutNextAfter(int tokens) {
    loop.execute(() -> core.cutNextAfter(tokens));
  }

  /**
   * Returns the counters.
   *
   * @return the current counts
   */
  public EngineCounts counts() {
    return CompletableFuture.supplyAsync(core::counts, loop).join();
  }

  boolean isUnreachable() {
    return unreachable;
  }

  /** Runs a task on the engine's thread, or later if the engine is frozen. */
  void execute(Runnable task) {
    loop.execute(
        () -> {
          if (deferredTasks != null) {
            deferredTasks.add(task);
          } else {
            task.run();
          }
        });
  }

  EngineCore core() {
    return core;
  }

  EngineState state() {
    return core.state(incarnation);
  }

  EngineState currentReport() {
    return currentReport;
  }

  List<CacheEvents.CacheEvent> eventsAfter(long sequence) {
    return events.after(sequence, clock.millis());
  }

  EngineResult startRequest(RunningRequest request, String prompt, String idempotencyKey) {
    EngineResult result = core.start(request, prompt, idempotencyKey, clock.millis());
    scheduleStep();
    return result;
  }

  EngineResult resume(String id, int from, ResponseSink sink) {
    EngineResult result = core.resume(id, from, sink);
    scheduleStep();
    return result;
  }

  /** Called by any thread when a request's connection was closed. */
  void connectionLost(RunningRequest request) {
    execute(() -> core.connectionLost(request));
  }

  void connectionLost(String id) {
    execute(() -> core.connectionLost(id));
  }

  CompletableFuture<EngineResult> load(AdapterRef adapter, String weights, long fencing) {
    if (core.checkStale(fencing)) {
      return CompletableFuture.completedFuture(EngineResult.STALE);
    }
    CompletableFuture<EngineResult> pending = core.pendingLoad(adapter);
    if (pending != null) {
      return pending;
    }
    CompletableFuture<EngineResult> result = new CompletableFuture<>();
    EngineResult immediate = core.beginLoad(adapter, result);
    if (immediate != null) {
      return CompletableFuture.completedFuture(immediate);
    }
    store
        .fetch(weights == null ? adapter.toString() : weights)
        .whenComplete(
            (fetched, failure) -> execute(() -> core.loadEnded(adapter, result, failure == null)));
    return result;
  }

  EngineResult unload(AdapterRef adapter, long fencing) {
    if (core.checkStale(fencing)) {
      return EngineResult.STALE;
    }
    core.unload(adapter);
    return EngineResult.DONE;
  }

  EngineResult setRole(String role, long fencing) {
    if (core.checkStale(fencing)) {
      return EngineResult.STALE;
    }
    core.setRole(role);
    return EngineResult.DONE;
  }

  private void scheduleStep() {
    if (!stepScheduled && !core.isIdle()) {
      stepScheduled = true;
      loop.schedule(this::step, core.stepMicros(), TimeUnit.MICROSECONDS);
    }
  }

  private void step() {
    stepScheduled = false;
    if (deferredTasks != null) {
      return;
    }
    if (core.step()) {
      restart();
      return;
    }
    scheduleStep();
  }

  private void updateReport() {
    if (deferredTasks == null) {
      currentReport = nextReport;
      nextReport = core.state(incarnation);
    }
  }

  private static String newIncarnation() {
    return UUID.randomUUID().toString();
  }
}
