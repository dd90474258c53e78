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
 * Simulates an engine without its network interface: adapter slots, continuous batching and orders.
 * Not thread-safe.
 *
 * <p>A step first processes (prefills) prompts, the highest priority first, up to the step's token
 * budget. It then generates one token for every request whose prompt has been processed completely.
 */
final class EngineCore {

  private static final int MAX_RESUMABLE_REQUESTS = 1_000;

  private final EngineSettings settings;
  private final Set<AdapterRef> resident = new LinkedHashSet<>();
  private final Map<AdapterRef, CompletableFuture<EngineResult>> pendingLoads =
      new LinkedHashMap<>();
  private final List<RunningRequest> batch = new ArrayList<>();
  private final Map<String, RunningRequest> resumable =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunningRequest> eldest) {
          return size() > MAX_RESUMABLE_REQUESTS;
        }
      };
  private final Map<String, Long> runs = new HashMap<>();
  private final Map<String, Long> runsByKey = new HashMap<>();
  private final PrefixCache prefixes;
  private long highestFencing;
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

  /** Adds a request to the batch, or returns why it is refused. */
  EngineResult start(RunningRequest request, String prompt, String idempotencyKey, long now) {
    if (!resident.contains(request.adapter)) {
      notResident++;
      return EngineResult.NOT_RESIDENT;
    }
    if (batch.size() >= settings.batchCapacity()) {
      return EngineResult.BATCH_FULL;
    }
    runs.merge(request.adapter.toString(), 1L, Long::sum);
    if (!idempotencyKey.isEmpty()) {
      runsByKey.merge(idempotencyKey, 1L, Long::sum);
    }
    request.abortAfterTokens = cutNextAfter;
    cutNextAfter = -1;
    request.pendingPromptTokens -= prefixes.lookUpAndStore(request.adapter, prompt, now);
    batch.add(request);
    return EngineResult.DONE;
  }

  /** Runs one step and returns whether a request in the batch crashes the engine. */
  boolean step() {
    if (batch.isEmpty()) {
      return false;
    }
    if (batch.stream().anyMatch(request -> request.crashesEngine)) {
      return true;
    }
    steps++;
    batchSum += batch.size();
    prefill();
    for (RunningRequest request : List.copyOf(batch)) {
      if (request.pendingPromptTokens <= 0) {
        generate(request);
      }
    }
    return false;
  }

  private void prefill() {
    int budget = settings.prefillTokensPerStep();
    List<RunningRequest> unprocessed =
        batch.stream()
            .filter(request -> request.pendingPromptTokens > 0)
            .sorted(Comparator.comparingInt((RunningRequest request) -> -request.priority))
            .toList();
    for (RunningRequest request : unprocessed) {
      int processed = Math.min(budget, request.pendingPromptTokens);
      request.pendingPromptTokens -= processed;
      budget -= processed;
    }
  }

  private void generate(RunningRequest request) {
    int before = request.generatedTokens;
    request.step();
    tokens += request.generatedTokens - before;
    if (request.isComplete()) {
      batch.remove(request);
    } else if (request.generatedTokens == request.abortAfterTokens) {
      request.sink.abort();
      connectionLost(request);
    }
  }

  /** Removes a request whose connection was closed from the batch; it may be resumed later. */
  void connectionLost(RunningRequest request) {
    if (batch.remove(request)) {
      resumable.put(request.id, request);
    }
  }

  /** Like {@link #connectionLost(RunningRequest)} for every request in the batch with that id. */
  void connectionLost(String id) {
    List.copyOf(batch).stream()
        .filter(request -> request.id.equals(id))
        .forEach(this::connectionLost);
  }

  /** Cancels a request; it cannot be resumed. */
  void cancel(String id) {
    resumable.remove(id);
    for (RunningRequest request : List.copyOf(batch)) {
      if (request.id.equals(id)) {
        batch.remove(request);
        cancels++;
        request.sink.failed(499, "cancelled");
      }
    }
  }

  /**
   * Returns the adapter of a request that can be resumed, or null. The rest of the response names
   * the same adapter as its beginning.
   */
  AdapterRef resumableAdapter(String id) {
    RunningRequest request = resumable.get(id);
    return request == null ? null : request.adapter;
  }

  /**
   * Resumes a request whose connection was closed. The tokens generated before are sent again,
   * starting at the given index.
   */
  EngineResult resume(String id, int from, ResponseSink sink) {
    RunningRequest request = resumable.get(id);
    if (request == null || from > request.generatedTokens || !resident.contains(request.adapter)) {
      return EngineResult.NOT_RESUMABLE;
    }
    if (batch.size() >= settings.batchCapacity()) {
      return EngineResult.BATCH_FULL;
    }
    resumable.remove(id);
    request.sink = sink;
    request.abortAfterTokens = -1;
    for (int i = from; i < request.generatedTokens; i++) {
      sink.token(i, request.expected.token(i));
    }
    batch.add(request);
    return EngineResult.DONE;
  }

  /**
   * Returns whether an order must be refused because of a stale fencing number, and otherwise
   * records the number if it is the highest.
   */
  boolean checkStale(long number) {
    if (settings.enforceFencing() && number < highestFencing) {
      staleOrders++;
      return true;
    }
    highestFencing = Math.max(highestFencing, number);
    return false;
  }

  /**
   * Begins a load. Returns null when the weights must be fetched; the caller then calls {@link
   * #loadEnded}.
   */
  EngineResult beginLoad(AdapterRef adapter, CompletableFuture<EngineResult> result) {
    if (resident.contains(adapter)) {
      return EngineResult.DONE;
    }
    if (resident.size() + pendingLoads.size() >= settings.adapterCapacity()) {
      return EngineResult.NO_FREE_SLOT;
    }
    pendingLoads.put(adapter, result);
    return null;
  }

  /** Returns the result of an adapter's load in progress, or null. */
  CompletableFuture<EngineResult> pendingLoad(AdapterRef adapter) {
    return pendingLoads.get(adapter);
  }

  /** Ends a load. A load that began before a restart is ignored. */
  void loadEnded(AdapterRef adapter, CompletableFuture<EngineResult> result, boolean fetched) {
    if (pendingLoads.get(adapter) != result) {
      return;
    }
    pendingLoads.remove(adapter);
    if (fetched && failNextLoads == 0) {
      resident.add(adapter);
      loads++;
      result.complete(EngineResult.DONE);
      return;
    }
    failNextLoads = Math.max(0, failNextLoads - 1);
    loadFailures++;
    result.complete(EngineResult.LOAD_FAILED);
  }

  /**
   * Frees an adapter's slot. Requests that run with the adapter fail; the unload is then counted as
   * one of an adapter in use.
   */
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

  void setRole(String newRole) {
    role = newRole;
  }

  /** Makes adapters resident without loading them, as far as slots are free. */
  void makeResident(Collection<AdapterRef> adapters) {
    adapters.stream().limit(settings.adapterCapacity() - resident.size()).forEach(resident::add);
  }

  /** Discards all state, as a new process does. The connections of running requests are closed. */
  void restart() {
    restarts++;
    final List<RunningRequest> open = List.copyOf(batch);
    batch.clear();
    resumable.clear();
    resident.clear();
    prefixes.clear();
    final List<CompletableFuture<EngineResult>> loads = List.copyOf(pendingLoads.values());
    pendingLoads.clear();
    highestFencing = 0;
    open.forEach(request -> request.sink.abort());
    loads.forEach(result -> result.complete(EngineResult.RESTARTED));
  }

  void failNextLoads(int count) {
    failNextLoads = count;
  }

  void cutNextAfter(int generatedTokens) {
    cutNextAfter = generatedTokens;
  }

  boolean isIdle() {
    return batch.isEmpty();
  }

  /** Returns the duration of a step, which grows linearly with the batch size. */
  long stepMicros() {
    return Math.round(
        settings.tokenMicros() * (1 + settings.batchSlowdown() * Math.max(0, batch.size() - 1)));
  }

  EngineState state(String incarnation) {
    List<String> names = resident.stream().map(AdapterRef::toString).toList();
    return new EngineState(incarnation, names, batch.size(), highestFencing, role);
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
