package org.hornbeamusher.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.AdapterRef;

/**
 * The engine itself: slots, batch and orders. It has no network, and one thread uses it.
 *
 * <p>A step reads prompts, the highest priority first, as far as the step's budget goes, and then
 * generates one token for every request whose prompt has been read.
 */
final class EngineCore {

  private static final int KEPT_REQUESTS = 1_000;

  private final EngineSettings settings;
  private final Set<AdapterRef> resident = new LinkedHashSet<>();
  private final Map<AdapterRef, CompletableFuture<EngineReply>> loading = new LinkedHashMap<>();
  private final List<RunningRequest> batch = new ArrayList<>();
  private final Map<String, RunningRequest> kept =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunningRequest> eldest) {
          return size() > KEPT_REQUESTS;
        }
      };
  private final Map<String, Long> runs = new HashMap<>();
  private final Map<String, Long> runsByKey = new HashMap<>();
  private final PrefixCache prefixes;
  private long fencing;
  private String role = "both";
  private int failNextLoads;
  private int cutNextAfter = -1;
  private long unloadsInUse;
  private long notResident;
  private long loads;
  private long loadFailures;
  private long staleOrders;
  private long tokens;
  private long steps;
  private long batchSum;
  private long restarts;
  private long cancels;

  EngineCore(EngineSettings settings, PrefixCache prefixes) {
    this.settings = settings;
    this.prefixes = prefixes;
  }

  /** Admits a request to the batch. */
  EngineReply start(RunningRequest request, String prompt, String idempotencyKey, long now) {
    if (!resident.contains(request.adapter)) {
      notResident++;
      return EngineReply.NOT_RESIDENT;
    }
    if (batch.size() >= settings.batch()) {
      return EngineReply.BATCH_FULL;
    }
    runs.merge(request.adapter.toString(), 1L, Long::sum);
    if (!idempotencyKey.isEmpty()) {
      runsByKey.merge(idempotencyKey, 1L, Long::sum);
    }
    request.cutAfter = cutNextAfter;
    cutNextAfter = -1;
    request.prefillLeft -= prefixes.read(request.adapter, prompt, now);
    batch.add(request);
    return EngineReply.DONE;
  }

  /** Runs one step; returns whether a request crashed the engine. */
  boolean step() {
    if (batch.isEmpty()) {
      return false;
    }
    if (batch.stream().anyMatch(request -> request.crashes)) {
      return true;
    }
    steps++;
    batchSum += batch.size();
    prefill();
    for (RunningRequest request : List.copyOf(batch)) {
      if (request.prefillLeft <= 0) {
        generate(request);
      }
    }
    return false;
  }

  private void prefill() {
    int budget = settings.prefillTokensPerStep();
    List<RunningRequest> reading =
        batch.stream()
            .filter(request -> request.prefillLeft > 0)
            .sorted(Comparator.comparingInt((RunningRequest request) -> -request.priority))
            .toList();
    for (RunningRequest request : reading) {
      int read = Math.min(budget, request.prefillLeft);
      request.prefillLeft -= read;
      budget -= read;
    }
  }

  private void generate(RunningRequest request) {
    int before = request.generated;
    request.step();
    tokens += request.generated - before;
    if (request.complete()) {
      batch.remove(request);
    } else if (request.generated == request.cutAfter) {
      request.sink.cut();
      lost(request);
    }
  }

  /** Takes a request whose connection is gone out of the batch; it may be resumed. */
  void lost(RunningRequest request) {
    if (batch.remove(request)) {
      kept.put(request.id, request);
    }
  }

  /** Like {@link #lost(RunningRequest)} for every request in the batch of that name. */
  void lost(String id) {
    List.copyOf(batch).stream().filter(request -> request.id.equals(id)).forEach(this::lost);
  }

  /** Ends a request for good. */
  void cancel(String id) {
    kept.remove(id);
    for (RunningRequest request : List.copyOf(batch)) {
      if (request.id.equals(id)) {
        batch.remove(request);
        cancels++;
        request.sink.failed(499, "cancelled");
      }
    }
  }

  /** Finds what a lost request was answering, so that the rest can be framed like the start. */
  AdapterRef keptAdapter(String id) {
    RunningRequest request = kept.get(id);
    return request == null ? null : request.adapter;
  }

  /** Goes on with a lost request; the tokens it had generated are sent again from an index. */
  EngineReply resume(String id, int from, AnswerSink sink) {
    RunningRequest request = kept.get(id);
    if (request == null || from > request.generated || !resident.contains(request.adapter)) {
      return EngineReply.NOT_KEPT;
    }
    if (batch.size() >= settings.batch()) {
      return EngineReply.BATCH_FULL;
    }
    kept.remove(id);
    request.sink = sink;
    request.cutAfter = -1;
    for (int i = from; i < request.generated; i++) {
      sink.token(i, request.answer.token(i));
    }
    batch.add(request);
    return EngineReply.DONE;
  }

  /** Checks an order's fencing number. */
  boolean stale(long number) {
    if (settings.enforceFencing() && number < fencing) {
      staleOrders++;
      return true;
    }
    fencing = Math.max(fencing, number);
    return false;
  }

  /** Begins a load; null when the weights must be fetched, and then {@link #loadEnded} follows. */
  EngineReply beginLoad(AdapterRef adapter, CompletableFuture<EngineReply> reply) {
    if (resident.contains(adapter)) {
      return EngineReply.DONE;
    }
    if (resident.size() + loading.size() >= settings.slots()) {
      return EngineReply.NO_FREE_SLOT;
    }
    loading.put(adapter, reply);
    return null;
  }

  /** Returns the load under way of an adapter, or null. */
  CompletableFuture<EngineReply> loading(AdapterRef adapter) {
    return loading.get(adapter);
  }

  /** Ends a load; one that began before a restart is no longer known and has no effect. */
  void loadEnded(AdapterRef adapter, CompletableFuture<EngineReply> reply, boolean arrived) {
    if (loading.get(adapter) != reply) {
      return;
    }
    loading.remove(adapter);
    if (arrived && failNextLoads == 0) {
      resident.add(adapter);
      loads++;
      reply.complete(EngineReply.DONE);
      return;
    }
    failNextLoads = Math.max(0, failNextLoads - 1);
    loadFailures++;
    reply.complete(EngineReply.LOAD_FAILED);
  }

  /** Empties a slot; requests that the adapter was serving fail, and are counted. */
  void unload(AdapterRef adapter) {
    resident.remove(adapter);
    List<RunningRequest> served =
        batch.stream().filter(request -> request.adapter.equals(adapter)).toList();
    if (!served.isEmpty()) {
      unloadsInUse++;
    }
    for (RunningRequest request : served) {
      batch.remove(request);
      request.sink.failed(500, "adapter-evicted");
    }
  }

  void role(String newRole) {
    role = newRole;
  }

  /** Fills slots without loading. */
  void hold(Collection<AdapterRef> adapters) {
    adapters.stream().limit(settings.slots() - resident.size()).forEach(resident::add);
  }

  /** Loses everything, as a new process does; open answers are cut. */
  void restart() {
    restarts++;
    final List<RunningRequest> open = List.copyOf(batch);
    batch.clear();
    kept.clear();
    resident.clear();
    prefixes.clear();
    final List<CompletableFuture<EngineReply>> loads = List.copyOf(loading.values());
    loading.clear();
    fencing = 0;
    open.forEach(request -> request.sink.cut());
    loads.forEach(reply -> reply.complete(EngineReply.RESTARTED));
  }

  void failNextLoads(int count) {
    failNextLoads = count;
  }

  void cutNextAfter(int generatedTokens) {
    cutNextAfter = generatedTokens;
  }

  boolean idle() {
    return batch.isEmpty();
  }

  /** Time of a step, which grows mildly with the batch. */
  long stepMicros() {
    return Math.round(
        settings.tokenMicros() * (1 + settings.batchSlowdown() * Math.max(0, batch.size() - 1)));
  }

  EngineState state(String incarnation) {
    List<String> names = resident.stream().map(AdapterRef::toString).toList();
    return new EngineState(incarnation, names, batch.size(), fencing, role);
  }

  EngineCounts counts() {
    return new EngineCounts(
        runs,
        runsByKey,
        unloadsInUse,
        notResident,
        loads,
        loadFailures,
        staleOrders,
        tokens,
        steps,
        batchSum,
        restarts,
        cancels);
  }
}
