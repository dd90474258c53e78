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
 * One engine over HTTP.
 *
 * <p>One thread runs everything the engine does: it steps the batch and carries out orders in turn.
 * Frozen, it takes connections and does nothing, as a process that is paused; restarting, it closes
 * every connection, as a process that is gone.
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

  /** Confined to the loop: what arrived while frozen; null when not frozen. */
  private ArrayDeque<Runnable> held;

  /** Confined to the loop: whether a step is due. */
  private boolean stepping;

  /** Confined to the loop: the report that is shown now and the one that follows it. */
  private EngineState shownReport;

  private EngineState nextReport;

  private volatile String incarnation = newIncarnation();
  private volatile boolean away;

  /**
   * Creates an engine that holds nothing.
   *
   * @param settings its figures
   * @param store where it loads weights from
   * @param clock tells the time
   */
  public EngineStandin(EngineSettings settings, WeightStoreStandin store, Clock clock) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.events = new CacheEvents(settings.eventDelayMillis(), settings.eventGap());
    this.core = new EngineCore(settings, new PrefixCache(settings.cacheBlocks(), events));
    this.server = new StandinServer(settings.host(), settings.port(), new EngineHttp(this));
    this.shownReport = core.state(incarnation);
    this.nextReport = shownReport;
  }

  /** Starts to listen. */
  public void start() {
    server.start();
    long lag = Math.max(1, settings.reportLagMillis());
    loop.scheduleAtFixedRate(this::report, lag, lag, TimeUnit.MILLISECONDS);
  }

  /** Stops; open answers are cut. */
  public void stop() {
    server.stop();
    loop.shutdownNow();
  }

  /**
   * Returns where it listens; known once started.
   *
   * @return for example {@code http://127.0.0.1:41001}
   */
  public URI uri() {
    return server.uri();
  }

  /** Crashes the engine: it loses everything, is away for a while and has a new incarnation. */
  public void restart() {
    away = true;
    loop.execute(
        () -> {
          held = null;
          core.restart();
          incarnation = newIncarnation();
          loop.schedule(
              () -> {
                away = false;
              },
              settings.restartMillis(),
              TimeUnit.MILLISECONDS);
        });
  }

  /**
   * Freezes or wakes the engine.
   *
   * @param frozen whether it stands still
   */
  public void freeze(boolean frozen) {
    loop.execute(
        () -> {
          if (frozen && held == null) {
            held = new ArrayDeque<>();
          } else if (!frozen && held != null) {
            ArrayDeque<Runnable> late = held;
            held = null;
            late.forEach(Runnable::run);
            scheduleStep();
          }
        });
  }

  /**
   * Lets loads fail.
   *
   * @param count how many of the next loads fail
   */
  public void failNextLoads(int count) {
    loop.execute(() -> core.failNextLoads(count));
  }

  /**
   * Lets the engine hold adapters, as one does that has run for a while. Nothing is fetched.
   *
   * @param adapters at most as many as it has slots
   */
  public void hold(Collection<AdapterRef> adapters) {
    loop.execute(() -> core.hold(adapters));
  }

  /**
   * Cuts the connection of the next request that starts; the engine keeps it for a resume.
   *
   * @param tokens after how many tokens
   */
  public void cutNextAfter(int tokens) {
    loop.execute(() -> core.cutNextAfter(tokens));
  }

  /**
   * Returns what was counted.
   *
   * @return the counts so far
   */
  public EngineCounts counts() {
    return CompletableFuture.supplyAsync(core::counts, loop).join();
  }

  boolean away() {
    return away;
  }

  /** Runs a task of the engine in its turn. */
  void execute(Runnable task) {
    loop.execute(
        () -> {
          if (held != null) {
            held.add(task);
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

  EngineState lastReport() {
    return shownReport;
  }

  List<CacheEvents.CacheEvent> eventsAfter(long sequence) {
    return events.after(sequence, clock.millis());
  }

  EngineReply begin(RunningRequest request, String prompt, String idempotencyKey) {
    EngineReply reply = core.start(request, prompt, idempotencyKey, clock.millis());
    scheduleStep();
    return reply;
  }

  EngineReply resume(String id, int from, AnswerSink sink) {
    EngineReply reply = core.resume(id, from, sink);
    scheduleStep();
    return reply;
  }

  /** Takes the news, from any thread, that a request's connection is gone. */
  void lost(RunningRequest request) {
    execute(() -> core.lost(request));
  }

  void lost(String id) {
    execute(() -> core.lost(id));
  }

  CompletableFuture<EngineReply> load(AdapterRef adapter, String weights, long fencing) {
    if (core.stale(fencing)) {
      return CompletableFuture.completedFuture(EngineReply.STALE);
    }
    CompletableFuture<EngineReply> underWay = core.loading(adapter);
    if (underWay != null) {
      return underWay;
    }
    CompletableFuture<EngineReply> reply = new CompletableFuture<>();
    EngineReply immediate = core.beginLoad(adapter, reply);
    if (immediate != null) {
      return CompletableFuture.completedFuture(immediate);
    }
    store
        .fetch(weights == null ? adapter.toString() : weights)
        .whenComplete(
            (arrived, failure) -> execute(() -> core.loadEnded(adapter, reply, failure == null)));
    return reply;
  }

  EngineReply unload(AdapterRef adapter, long fencing) {
    if (core.stale(fencing)) {
      return EngineReply.STALE;
    }
    core.unload(adapter);
    return EngineReply.DONE;
  }

  EngineReply role(String role, long fencing) {
    if (core.stale(fencing)) {
      return EngineReply.STALE;
    }
    core.role(role);
    return EngineReply.DONE;
  }

  private void scheduleStep() {
    if (!stepping && !core.idle()) {
      stepping = true;
      loop.schedule(this::step, core.stepMicros(), TimeUnit.MICROSECONDS);
    }
  }

  private void step() {
    stepping = false;
    if (held != null) {
      return;
    }
    if (core.step()) {
      restart();
      return;
    }
    scheduleStep();
  }

  private void report() {
    if (held == null) {
      shownReport = nextReport;
      nextReport = core.state(incarnation);
    }
  }

  private static String newIncarnation() {
    return UUID.randomUUID().toString();
  }
}
