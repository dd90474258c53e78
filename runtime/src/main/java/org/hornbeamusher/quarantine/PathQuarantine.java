package org.hornbeamusher.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/**
 * Decides whether a request is refused because of its path, client account and body.
 *
 * <p><b>Problem.</b> A request that crashes every endpoint comes back with another host, method,
 * query or header, so that no two tries have the same content. Other requests with the same path
 * and body may be sound and differ from it only in the query.
 *
 * <p><b>Algorithm.</b> A crash counts for the path as well as for the content, and any response to
 * a request with the same path, account and body clears the path. A path at the crash limit is
 * refused, unless one quarantined content or part explains its crashes: at most one other is left.
 * So a single query that crashes endpoints does not keep others from being served, and queries that
 * crash them one after the other are refused after at most two more.
 *
 * <p>What it does not recognize: a path of which sound and crashing requests alternate, each of the
 * crashing ones with another query; the sound ones clear it.
 */
public final class PathQuarantine {

  private static final int MAX_UNEXPLAINED_CRASHES = 1;

  private final Function<CrashSuspect, List<CrashRecord.Crash>> crashes;

  /**
   * Creates a decision.
   *
   * @param crashes returns the crashes of a suspect that are not cleared
   */
  public PathQuarantine(Function<CrashSuspect, List<CrashRecord.Crash>> crashes) {
    this.crashes = crashes;
  }

  /**
   * Decides whether a request whose content is not quarantined is refused.
   *
   * @param path its path, client account and body
   * @param quarantined all suspects at the limit
   * @return whether it is refused
   */
  public boolean refuses(PathContent path, Collection<CrashSuspect> quarantined) {
    return quarantined.contains(path)
        && quarantined.stream().noneMatch(other -> explains(other, path));
  }

  private boolean explains(CrashSuspect other, PathContent path) {
    return !(other instanceof PathContent)
        && IndependentCrashes.countWithout(path, crashes.apply(path), crashes.apply(other))
            <= MAX_UNEXPLAINED_CRASHES;
  }
}
