package org.hornbeamusher.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The crashes of endpoints that ran requests with one suspect.
 *
 * <p>Records of several processes are merged: the order of the merges and repeated merges make no
 * difference to which crashes are known and which of them are cleared.
 *
 * @param suspect what the requests have in common
 * @param crashes one for each incarnation, the oldest first
 */
public record CrashRecord(CrashSuspect suspect, List<Crash> crashes) {

  /** More than any limit; a suspect that many requests share would otherwise collect them all. */
  static final int MAX_CRASHES = 48;

  /**
   * The crash of one incarnation of an endpoint.
   *
   * @param endpoint the incarnation
   * @param cleared whether a request with the same suspect has been answered since, so that this
   *     crash had another cause
   * @param ended when the endpoint ended; distinguishes crashes that may have another cause in
   *     common
   */
  public record Crash(EndpointIncarnation endpoint, boolean cleared, EndInterval ended) {

    /**
     * Creates a crash at an unknown time.
     *
     * @param endpoint the incarnation
     * @param cleared whether a request with the same suspect has been answered since
     */
    public Crash(EndpointIncarnation endpoint, boolean cleared) {
      this(endpoint, cleared, EndInterval.UNKNOWN);
    }

    private Crash mergedWith(Crash other) {
      return new Crash(endpoint, cleared || other.cleared, ended.mergedWith(other.ended));
    }
  }

  /** Copies the list and drops the oldest crashes of one that is too long. */
  public CrashRecord {
    crashes =
        List.copyOf(crashes.subList(Math.max(0, crashes.size() - MAX_CRASHES), crashes.size()));
  }

  /**
   * Counts the crashes that may have been caused by the suspect.
   *
   * @return the number of crashes that are not cleared
   */
  public int openCrashes() {
    int count = 0;
    for (Crash crash : crashes) {
      count += crash.cleared() ? 0 : 1;
    }
    return count;
  }

  /**
   * Counts the crashes that are not cleared and had no cause in common other than the suspect.
   *
   * @return at most {@link #openCrashes()}
   */
  public int independentCrashes() {
    return IndependentCrashes.count(suspect, open());
  }

  /** Returns the crashes that are not cleared. */
  List<Crash> open() {
    return crashes.stream().filter(crash -> !crash.cleared()).toList();
  }

  /** Adds a crash; returns an equal record if that adds nothing. */
  CrashRecord with(Crash crash) {
    return mergedWith(new CrashRecord(suspect, List.of(crash)));
  }

  /** Returns this record with all crashes cleared. */
  CrashRecord cleared() {
    return new CrashRecord(
        suspect,
        crashes.stream().map(crash -> new Crash(crash.endpoint(), true, crash.ended())).toList());
  }

  /** Returns whether a crash that is open in another record is cleared in this one. */
  boolean clearsAnyOf(CrashRecord other) {
    List<Crash> cleared = crashes.stream().filter(Crash::cleared).toList();
    return !cleared.isEmpty()
        && other.open().stream()
            .anyMatch(
                open ->
                    cleared.stream().anyMatch(own -> own.endpoint().maybeSameAs(open.endpoint())));
  }

  /** Returns the crashes of both records; one that either has cleared is cleared. */
  CrashRecord mergedWith(CrashRecord other) {
    if (crashes.equals(other.crashes)) {
      return this;
    }
    List<Crash> merged = new ArrayList<>(crashes);
    for (Crash crash : other.crashes) {
      int known = indexOf(merged, crash.endpoint());
      if (known < 0) {
        merged.add(crash);
      } else {
        merged.set(known, merged.get(known).mergedWith(crash));
      }
    }
    return new CrashRecord(suspect, merged);
  }

  private static int indexOf(List<Crash> crashes, EndpointIncarnation endpoint) {
    for (int i = 0; i < crashes.size(); i++) {
      if (crashes.get(i).endpoint().maybeSameAs(endpoint)) {
        return i;
      }
    }
    return -1;
  }
}
