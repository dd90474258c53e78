package org.hornbeamusher.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Counts the crashes that can't have had one cause in common other than the suspect.
 *
 * <p><b>Problem.</b> The loss of power in a zone ends many endpoints, and all of them run requests
 * that share a part of their prompts. Their ends are one piece of evidence against that part, not
 * one for each endpoint.
 *
 * <p><b>Algorithm.</b> Two ends are independent if one endpoint was known to run after the end of
 * the other. The count is the largest number of crashes of which each two are independent.
 *
 * <p>Endpoints that end for one cause do not end in the same millisecond. Many requests share a
 * part, or a path and a body, so one was probably sent in between, and the ends must lie further
 * apart. For a content it is counted from when the request was sent, so it must have been sent
 * again after the former end, which a retry may be within the same millisecond.
 */
final class IndependentCrashes {

  /** The ends that one cause brings about are spread over about this time. */
  static final long SPREAD_MILLIS = 200;

  private IndependentCrashes() {}

  /**
   * Counts independent crashes.
   *
   * @param suspect what the requests have in common
   * @param crashes the crashes to count, cleared or not; one with an unknown time is independent of
   *     all others
   */
  static int count(CrashSuspect suspect, Collection<CrashRecord.Crash> crashes) {
    long minGapMillis =
        switch (suspect) {
          case RequestContent content -> 0;
          case PathContent path -> SPREAD_MILLIS;
          case PromptPartId part -> SPREAD_MILLIS;
        };
    List<EndInterval> known =
        crashes.stream()
            .map(CrashRecord.Crash::ended)
            .filter(EndInterval::isKnown)
            .sorted(Comparator.comparingLong(EndInterval::latestMillis))
            .toList();
    int count = crashes.size() - known.size();
    long lastMillis = -SPREAD_MILLIS;
    for (EndInterval each : known) {
      if (each.earliestMillis() - lastMillis >= minGapMillis) {
        count++;
        lastMillis = each.latestMillis();
      }
    }
    return count;
  }

  /**
   * Counts the independent crashes of endpoints that did not crash under another suspect as well.
   *
   * @param suspect what the requests have in common
   * @param crashes its crashes
   * @param explained the crashes of the other suspect
   */
  static int countWithout(
      CrashSuspect suspect,
      Collection<CrashRecord.Crash> crashes,
      Collection<CrashRecord.Crash> explained) {
    List<CrashRecord.Crash> left =
        crashes.stream()
            .filter(
                crash ->
                    explained.stream()
                        .noneMatch(each -> each.endpoint().maybeSameAs(crash.endpoint())))
            .toList();
    return count(suspect, left);
  }
}
