package org.hornbeamusher.bench.faults;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamusher.ids.AdapterRef;

/** The actual state of a simulated engine, against which an agent's decisions are checked. */
final class FakeEngine {

  private final Timeline timeline;
  private final FaultInjector injector;
  private final InjectedDefect defect;
  private final Set<AdapterRef> resident = new HashSet<>();
  private final Map<Long, AdapterRef> running = new HashMap<>();
  private int incarnation;

  FakeEngine(Timeline timeline, FaultInjector injector, InjectedDefect defect) {
    this.timeline = timeline;
    this.injector = injector;
    this.defect = defect;
  }

  int incarnation() {
    return incarnation;
  }

  /** Restarts the engine; resident adapters and running requests are lost. */
  void crash() {
    incarnation++;
    resident.clear();
    running.clear();
  }

  /** Evicts and loads; reports whether the load succeeded, unless the engine crashes before. */
  void load(AdapterRef adapter, Optional<AdapterRef> evict, Consumer<Boolean> onResult) {
    evict.ifPresent(this::evict);
    int before = incarnation;
    boolean fails = injector.occurs(Fault.LOAD_FAILED, 0.05);
    timeline.after(
        injector.between(50, 600),
        () -> {
          if (before == incarnation) {
            if (!fails) {
              resident.add(adapter);
            }
            onResult.accept(!fails);
          }
        });
  }

  /** Starts a request and returns the adapter in use; empty if the adapter is not resident. */
  Optional<AdapterRef> start(long ticket, AdapterRef wanted) {
    if (!resident.contains(wanted)) {
      return Optional.empty();
    }
    boolean ignoresAdapter = defect == InjectedDefect.ADAPTER_IGNORED;
    AdapterRef used =
        ignoresAdapter ? resident.stream().sorted().findFirst().orElseThrow() : wanted;
    injector.check(Invariant.WRONG_ADAPTER, used.equals(wanted), wanted + " ran on " + used);
    running.put(ticket, used);
    return Optional.of(used);
  }

  Set<AdapterRef> resident() {
    return Set.copyOf(resident);
  }

  boolean runs(long ticket) {
    return running.containsKey(ticket);
  }

  void end(long ticket) {
    running.remove(ticket);
  }

  /** Returns an adapter that is in use, for the defect of an agent that evicts such adapters. */
  Optional<AdapterRef> pinned() {
    return running.values().stream().sorted().findFirst();
  }

  private void evict(AdapterRef adapter) {
    boolean pinned = running.containsValue(adapter);
    injector.check(Invariant.EVICTED_WHILE_PINNED, !pinned, adapter + " serves " + running);
    resident.remove(adapter);
  }
}
