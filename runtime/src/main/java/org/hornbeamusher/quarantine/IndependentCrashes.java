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
 * again after the former end, which a retry may be within the same millisecond. Times that two
 * processes took must differ by more than the error of their clocks as well. So whether two ends
 * are independent depends on the pair, and the longest chain of ends is sought in which each is
 * independent of the one before it, and thereby of all before it.
 */
final class IndependentCrashes {

  /** The ends that one cause brings about are spread over about this time. */
  static final long SPREAD_MILLIS = 200;

  /** More than estimates of the service's clock differ while its responses are not delayed. */
  static final long CLOCK_ERROR_MILLIS = 50;

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
    return crashes.size() - known.size() + longestChain(known, minGapMillis);
  }

  private static int longestChain(List<EndInterval> ends, long minGapMillis) {
    int[] lengths = new int[ends.size()];
    int longest = 0;
    for (int i = 0; i < lengths.length; i++) {
      lengths[i] = 1;
      for (int j = 0; j < i; j++) {
        if (lengths[j] >= lengths[i] && isAfter(ends.get(i), ends.get(j), minGapMillis)) {
          lengths[i] = lengths[j] + 1;
        }
      }
      longest = Math.max(longest, lengths[i]);
    }
    return longest;
  }

  private static boolean isAfter(EndInterval end, EndInterval former, long minGapMillis) {
    long gapMillis =
        end.isComparableExactlyWith(former)
            ? minGapMillis
            : Math.max(minGapMillis, CLOCK_ERROR_MILLIS);
    return end.earliestMillis() - former.latestMillis() >= gapMillis;
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
