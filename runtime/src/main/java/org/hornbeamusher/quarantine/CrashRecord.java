package org.hornbeamusher.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The crashes of endpoints that ran requests of one content.
 *
 * <p>Records of several processes are merged: the order of the merges and repeated merges make no
 * difference to which crashes are known and which of them are cleared.
 *
 * @param content the content
 * @param crashes one for each incarnation, the oldest first
 */
public record CrashRecord(RequestContent content, List<Crash> crashes) {

  /** More than any limit; a content that many requests share would otherwise collect them all. */
  static final int MAX_CRASHES = 16;

  /**
   * The crash of one incarnation of an endpoint.
   *
   * @param endpoint the incarnation
   * @param cleared whether a request of the same content has been completed since, so that this
   *     crash had another cause
   */
  public record Crash(EndpointIncarnation endpoint, boolean cleared) {}

  /** Copies the list and drops the oldest crashes of one that is too long. */
  public CrashRecord {
    crashes =
        List.copyOf(crashes.subList(Math.max(0, crashes.size() - MAX_CRASHES), crashes.size()));
  }

  /**
   * Counts the crashes that may have been caused by the content.
   *
   * @return the number of crashes that are not cleared
   */
  public int openCrashes() {
    return (int) crashes.stream().filter(crash -> !crash.cleared()).count();
  }

  /**
   * Adds a crash.
   *
   * @param endpoint the incarnation that crashed
   * @return this record if it has that crash already
   */
  CrashRecord with(EndpointIncarnation endpoint) {
    return mergedWith(new CrashRecord(content, List.of(new Crash(endpoint, false))));
  }

  /** Returns this record with all crashes cleared. */
  CrashRecord cleared() {
    return new CrashRecord(
        content, crashes.stream().map(crash -> new Crash(crash.endpoint(), true)).toList());
  }

  /** Returns the crashes of both records; one that either has cleared is cleared. */
  CrashRecord mergedWith(CrashRecord other) {
    List<Crash> merged = new ArrayList<>(crashes);
    for (Crash crash : other.crashes) {
      int known = indexOf(merged, crash.endpoint());
      if (known < 0) {
        merged.add(crash);
      } else if (crash.cleared()) {
        merged.set(known, new Crash(merged.get(known).endpoint(), true));
      }
    }
    return new CrashRecord(content, merged);
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
