package org.hornbeamusher.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Usage within a window as stated to a relay by entries, and as the relay states it to them. */
final class RelayedUsage {

  private final UsageHistory<String> totals;
  private final Map<EntryIncarnation, Source> sources = new HashMap<>();
  private long windowMillis;

  RelayedUsage(long windowMillis) {
    this.windowMillis = windowMillis;
    this.totals = new UsageHistory<>(windowMillis);
  }

  /** An incarnation of an entry. */
  record EntryIncarnation(String name, long incarnation) {}

  void extendWindow(long millis) {
    if (millis > windowMillis) {
      windowMillis = millis;
      totals.extendWindow(millis);
      sources.values().forEach(source -> source.extendWindow(millis));
    }
  }

  /** Records what an entry states of itself; returns whether it changes anything. */
  boolean record(EntryIncarnation entry, UsageAtStep usage, long currentStep, long now) {
    Source source = sources.computeIfAbsent(entry, unused -> new Source(windowMillis));
    StatedUsage.Change change =
        source.stated.record(usage.name(), usage.step(), currentStep, usage.units(), now);
    source.own.add(usage.name(), change.units(), change.usedMillis(), now);
    totals.add(usage.name(), change.units(), change.usedMillis(), now);
    return change.units() != 0;
  }

  /** Returns the number of the last change. */
  long lastChange() {
    return totals.lastChange();
  }

  /** Returns the usage of all others that has changed since a change. */
  List<UsageAtStep> others(EntryIncarnation entry, long change, long now) {
    Source source = sources.get(entry);
    List<UsageAtStep> usage = new ArrayList<>();
    totals.forEachChangedSince(
        change,
        now,
        (name, step, units) -> {
          long own = source == null ? 0 : source.own.units(name, step);
          usage.add(new UsageAtStep(name, step, units - own));
        });
    return usage;
  }

  /** Forgets the entries whose usage has left the window; the sums do not contain it any more. */
  void removeIdle(long now) {
    sources.values().removeIf(source -> source.stated.isEmpty(now));
  }

  private static final class Source {

    private final StatedUsage<String> stated;

    /** The usage of this entry by the steps of the relay. */
    private final UsageHistory<String> own;

    Source(long windowMillis) {
      this.stated = new StatedUsage<>(windowMillis);
      this.own = new UsageHistory<>(windowMillis);
    }

    void extendWindow(long millis) {
      stated.extendWindow(millis);
      own.extendWindow(millis);
    }
  }
}
