package org.hornbeamusher.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Usage by key within a window, at one entry and at all others, as exchanged through relays.
 *
 * <p><b>Algorithm.</b> What is exchanged is the usage of single steps of time, not differences of
 * running sums:
 *
 * <ol>
 *   <li>An entry states the steps whose usage has changed, and all steps of the window to a relay
 *       that it reports to for the first time on a connection. A refund changes the step in which
 *       the units were used, at this entry and at all others.
 *   <li>A relay adds up the steps of all incarnations of all entries and states the sums of the
 *       others to each entry in the same way.
 *   <li>All relays state the same usage, as long as they are updated: the largest sum counts, so
 *       that a relay that lacks usage does not hide what another one knows.
 *   <li>What a relay stated remains until it has left the window, also after it is lost: it may
 *       contain usage of entries that have ended, which its successor never learns. The window is
 *       divided where a relay ceased to be updated, and in each part the largest sum counts. So
 *       what a lost relay knew of the time before its loss adds to what its successor knows of the
 *       time after it.
 * </ol>
 *
 * <p>So a statement that arrives late, twice or after a reconnection changes nothing that it should
 * not, and no sum depends on when a connection was opened.
 *
 * @param <R> identifies a relay
 * @param <K> identifies what uses
 */
public final class WindowedUsage<R, K> {

  private final long windowMillis;
  private final Function<K, String> name;
  private final UsageHistory<K> local;
  private final Map<R, RelayView<R, K>> relays = new HashMap<>();

  /** The views of relays, also of lost ones, that have stated usage of the window. */
  private final List<RelayView<R, K>> stating = new ArrayList<>();

  private final WindowSum none;
  private long idleRemovedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates an instance without usage.
   *
   * @param windowMillis for how long usage counts
   * @param name returns the name under which usage of a key is exchanged
   */
  public WindowedUsage(long windowMillis, Function<K, String> name) {
    this.windowMillis = windowMillis;
    this.name = name;
    this.local = new UsageHistory<>(windowMillis);
    this.none = new WindowSum(windowMillis);
  }

  /**
   * Adds usage of this entry.
   *
   * @param key what uses
   * @param units units used; negative for a refund
   * @param usedMillis when the units were used, also those of a refund
   * @param now milliseconds
   */
  public void add(K key, long units, long usedMillis, long now) {
    local.add(key, units, usedMillis, now);
  }

  /**
   * Records that a connection to a relay was opened.
   *
   * @param relay the relay
   * @param now milliseconds
   */
  public void relayConnected(R relay, long now) {
    relays.put(relay, new RelayView<>(relay, windowMillis, now));
  }

  /**
   * Records that the connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void relayDisconnected(R relay) {
    relays.remove(relay);
  }

  /**
   * Records that a relay has sent an update, also one without changes.
   *
   * @param relay a connected relay
   * @param validMillis for how long its statements are complete unless it sends another one
   * @param now milliseconds
   */
  public void relayUpdated(R relay, long validMillis, long now) {
    RelayView<R, K> from = relays.get(relay);
    from.updatedMillis = now;
    from.validUntilMillis = now + validMillis;
  }

  /**
   * Returns whether a relay is connected.
   *
   * @param relay the relay
   * @return whether reports of it count
   */
  public boolean connected(R relay) {
    return relays.containsKey(relay);
  }

  /**
   * Returns the usage of this entry that has not been stated to a relay and marks it as stated.
   *
   * @param relay a connected relay
   * @param now milliseconds
   * @return the steps that have changed; empty if there are none
   */
  public List<UsageAtStep> takeReport(R relay, long now) {
    RelayView<R, K> to = relays.get(relay);
    List<UsageAtStep> report = new ArrayList<>();
    local.forEachChangedSince(
        to.reportedChange,
        now,
        (key, step, units) -> report.add(new UsageAtStep(name.apply(key), step, units)));
    to.reportedChange = local.lastChange();
    return report;
  }

  /**
   * Records what a relay states of the other entries.
   *
   * @param relay a connected relay
   * @param key what uses
   * @param step the step by the clock of the relay
   * @param currentStep the relay's step when it made the statement
   * @param units units used in that step by all other entries
   * @param now milliseconds
   * @return by how many units the known usage of other entries has changed, without usage from
   *     before the connection was opened
   */
  public long receive(R relay, K key, long step, long currentStep, long units, long now) {
    removeIdle(now);
    RelayView<R, K> from = relays.get(relay);
    if (!stating.contains(from)) {
      stating.add(from);
    }
    long before = remoteTotal(key, now);
    StatedUsage.Change change = from.stated.record(key, step, currentStep, units, now);
    from.sum(key).add(change.units(), change.usedMillis(), now);
    return change.usedMillis() < from.openedMillis ? 0 : remoteTotal(key, now) - before;
  }

  /** Returns the usage of other entries, as stated by all relays together. */
  WindowSum remote(K key, long now) {
    List<WindowSum> sums = new ArrayList<>();
    List<Long> endsMillis = new ArrayList<>();
    for (RelayView<R, K> view : stating) {
      WindowSum sum = view.sums.get(key);
      if (sum != null && sum.total(now) > 0) {
        sums.add(sum);
      }
      if (!isUpdated(view, now)) {
        endsMillis.add(view.updatedMillis);
      }
    }
    if (sums.isEmpty()) {
      return none;
    }
    return sums.size() == 1 || endsMillis.isEmpty()
        ? Collections.max(sums, Comparator.comparingLong(sum -> sum.total(now)))
        : WindowSum.largestParts(sums, endsMillis, now);
  }

  private boolean isUpdated(RelayView<R, K> view, long now) {
    return relays.get(view.relay) == view && now < view.validUntilMillis;
  }

  /**
   * Returns what each relay states, also those that were lost within the window.
   *
   * @param key what uses
   * @param now milliseconds
   * @return the units that other entries used, by relay
   */
  public List<StatedUnits> stated(K key, long now) {
    List<StatedUnits> stated = new ArrayList<>();
    for (RelayView<R, K> view : stating) {
      WindowSum sum = view.sums.get(key);
      if (sum != null && sum.total(now) > 0) {
        stated.add(
            new StatedUnits(view.relay.toString(), relays.get(view.relay) == view, sum.total(now)));
      }
    }
    return stated;
  }

  private long remoteTotal(K key, long now) {
    return remote(key, now).total(now);
  }

  private void removeIdle(long now) {
    if (now - idleRemovedMillis >= windowMillis) {
      idleRemovedMillis = now;
      stating.removeIf(view -> view.stated.isEmpty(now));
      stating.forEach(view -> view.sums.values().removeIf(sum -> sum.total(now) == 0));
    }
  }

  /** What was stated to and by one relay since its connection opened. */
  private static final class RelayView<R, K> {

    private final R relay;
    private final long windowMillis;
    private final long openedMillis;
    private final StatedUsage<K> stated;
    private final Map<K, WindowSum> sums = new HashMap<>();
    private long reportedChange;

    /** When the last update arrived. */
    private long updatedMillis;

    private long validUntilMillis;

    RelayView(R relay, long windowMillis, long openedMillis) {
      this.relay = relay;
      this.windowMillis = windowMillis;
      this.openedMillis = openedMillis;
      this.updatedMillis = openedMillis;
      this.validUntilMillis = openedMillis;
      this.stated = new StatedUsage<>(windowMillis);
    }

    WindowSum sum(K key) {
      return sums.computeIfAbsent(key, unused -> new WindowSum(windowMillis));
    }
  }
}
