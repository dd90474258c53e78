package org.hornbeamusher.bench.faults;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamusher.ids.AdapterRef;

/** What an engine really holds and runs, against which an agent's decisions are judged. */
final class EngineFake {

  private final Timeline timeline;
  private final Chaos chaos;
  private final Breakage breakage;
  private final Set<AdapterRef> resident = new HashSet<>();
  private final Map<Long, AdapterRef> running = new HashMap<>();
  private int incarnation;

  EngineFake(Timeline timeline, Chaos chaos, Breakage breakage) {
    this.timeline = timeline;
    this.chaos = chaos;
    this.breakage = breakage;
  }

  int incarnation() {
    return incarnation;
  }

  /** Loses everything. */
  void crash() {
    incarnation++;
    resident.clear();
    running.clear();
  }

  /** Evicts and loads; answers whether the load ended well, unless the engine crashes before. */
  void load(AdapterRef adapter, Optional<AdapterRef> evict, Consumer<Boolean> answer) {
    evict.ifPresent(this::evict);
    int before = incarnation;
    boolean fails = chaos.strikes(Fault.LOAD_FAILED, 0.05);
    timeline.after(
        chaos.between(50, 600),
        () -> {
          if (before == incarnation) {
            if (!fails) {
              resident.add(adapter);
            }
            answer.accept(!fails);
          }
        });
  }

  /** Begins a request and returns what it runs on; refuses one whose adapter it does not hold. */
  Optional<AdapterRef> start(long ticket, AdapterRef wanted) {
    if (!resident.contains(wanted)) {
      return Optional.empty();
    }
    boolean broken = breakage == Breakage.ADAPTER_IGNORED;
    AdapterRef used = broken ? resident.stream().sorted().findFirst().orElseThrow() : wanted;
    chaos.check(Check.WRONG_ADAPTER, used.equals(wanted), wanted + " ran on " + used);
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

  /** What an agent with a defect would evict: something that is in use. */
  Optional<AdapterRef> pinned() {
    return running.values().stream().sorted().findFirst();
  }

  private void evict(AdapterRef adapter) {
    boolean pinned = running.containsValue(adapter);
    chaos.check(Check.EVICTED_WHILE_PINNED, !pinned, adapter + " serves " + running);
    resident.remove(adapter);
  }
}
