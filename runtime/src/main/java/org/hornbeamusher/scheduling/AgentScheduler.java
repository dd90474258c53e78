package org.hornbeamusher.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.routing.EndpointLoad;

/**
 * Decides for one endpoint what is loaded, evicted, started and refused. Not safe for use by
 * several threads at once. Every method that may change what can run is followed by {@link #poll}.
 *
 * <p>This first form serves in order of arrival and evicts the least recently used adapter.
 */
public final class AgentScheduler {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final SchedulerSettings settings;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final Map<Long, QueuedRequest> running = new HashMap<>();
  private final LinkedHashMap<AdapterRef, Integer> pins = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<AdapterRef> loading = new HashSet<>();
  private final Set<AdapterRef> failed = new HashSet<>();

  /**
   * Creates a scheduler for an endpoint that holds nothing.
   *
   * @param settings the endpoint's figures
   */
  public AgentScheduler(SchedulerSettings settings) {
    this.settings = settings;
  }

  /**
   * Takes in a request.
   *
   * @param request what arrived
   * @param now milliseconds
   */
  public void submit(QueuedRequest request, @SuppressWarnings("unused") long now) {
    queue.add(request);
  }

  /**
   * Forgets a request, queued or running.
   *
   * @param ticket the request
   * @param now milliseconds
   * @return whether it had been started
   */
  public boolean cancel(long ticket, long now) {
    queue.removeIf(request -> request.ticket() == ticket);
    boolean started = running.containsKey(ticket);
    finished(ticket, now);
    return started;
  }

  /**
   * Records that a started request ended, in whatever way.
   *
   * @param ticket the request
   * @param now milliseconds
   */
  public void finished(long ticket, @SuppressWarnings("unused") long now) {
    QueuedRequest request = running.remove(ticket);
    if (request != null) {
      request.adapter().ifPresent(ref -> pins.merge(ref, -1, Integer::sum));
    }
  }

  /**
   * Records that a load ended well.
   *
   * @param adapter what was loaded
   * @param now milliseconds
   */
  public void loaded(AdapterRef adapter, @SuppressWarnings("unused") long now) {
    loading.remove(adapter);
    pins.put(adapter, 0);
  }

  /**
   * Records that a load failed; its eviction has happened all the same.
   *
   * @param adapter what was not loaded
   * @param now milliseconds
   */
  public void loadFailed(AdapterRef adapter, @SuppressWarnings("unused") long now) {
    loading.remove(adapter);
    failed.add(adapter);
  }

  /**
   * Records that the endpoint restarted: it holds nothing, and what ran on it is lost.
   *
   * @param now milliseconds
   */
  public void endpointRestarted(@SuppressWarnings("unused") long now) {
    pins.clear();
    loading.clear();
    running.clear();
  }

  /**
   * Replaces what is known of the endpoint by what it says it holds.
   *
   * @param resident what it holds
   * @param now milliseconds
   */
  public void residencyObserved(Set<AdapterRef> resident, @SuppressWarnings("unused") long now) {
    pins.keySet().retainAll(resident);
    resident.forEach(adapter -> pins.putIfAbsent(adapter, 0));
  }

  /**
   * Records that one load may begin.
   *
   * @param now milliseconds
   */
  public void permitGranted(@SuppressWarnings("unused") long now) {}

  /**
   * Decides what happens next.
   *
   * @param now milliseconds
   * @return the actions, in order
   */
  public List<AgentAction> poll(long now) {
    List<AgentAction> actions = new ArrayList<>();
    Iterator<QueuedRequest> waiting = queue.iterator();
    while (waiting.hasNext()) {
      QueuedRequest request = waiting.next();
      if (request.deadlineMillis() <= now) {
        waiting.remove();
        actions.add(refuse(request, FailureType.DEADLINE_TOO_NEAR));
      } else if (request.adapter().filter(failed::contains).isPresent()) {
        waiting.remove();
        actions.add(refuse(request, FailureType.LOAD_FAILED));
      } else if (running.size() < settings.batch() && resident(request)) {
        waiting.remove();
        running.put(request.ticket(), request);
        request.adapter().ifPresent(ref -> pins.merge(ref, 1, Integer::sum));
        actions.add(new AgentAction.Start(request.ticket(), now - request.arrivedMillis()));
      } else if (!resident(request)) {
        loadFor(request.adapter().orElseThrow()).ifPresent(actions::add);
      }
    }
    failed.clear();
    return actions;
  }

  /**
   * Returns when {@link #poll} must be called again though nothing happened.
   *
   * @param now milliseconds
   * @return a time in milliseconds
   */
  public long nextPollMillis(long now) {
    return now + 100;
  }

  /**
   * Describes the endpoint for the entries.
   *
   * @param now milliseconds
   * @return the report
   */
  public EndpointLoad load(@SuppressWarnings("unused") long now) {
    return new EndpointLoad(
        running.size(),
        queue.size(),
        settings.batch(),
        settings.slots(),
        0,
        settings.loadMillis(),
        pins.keySet());
  }

  private boolean resident(QueuedRequest request) {
    return request.adapter().isEmpty() || pins.containsKey(request.adapter().get());
  }

  private Optional<AgentAction> loadFor(AdapterRef adapter) {
    if (!loading.isEmpty()) {
      return Optional.empty();
    }
    Optional<AdapterRef> evict = Optional.empty();
    if (pins.size() >= settings.slots()) {
      evict =
          pins.entrySet().stream()
              .filter(e -> e.getValue() == 0)
              .map(Map.Entry::getKey)
              .findFirst();
      if (evict.isEmpty()) {
        return Optional.empty();
      }
      pins.remove(evict.get());
    }
    loading.add(adapter);
    return Optional.of(new AgentAction.Load(adapter, evict));
  }

  private static AgentAction refuse(QueuedRequest request, FailureType type) {
    return new AgentAction.Refuse(request.ticket(), type, RETRY_AFTER_MILLIS);
  }
}
