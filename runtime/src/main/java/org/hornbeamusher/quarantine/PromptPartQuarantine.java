package org.hornbeamusher.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides which requests are refused because of a part of their prompts.
 *
 * <p><b>Problem.</b> A part of a prompt crashes every endpoint that begins to answer on it,
 * whatever else the request contains. No two requests are alike, but each of them has other parts
 * in common with thousands of requests that crash nothing, and each crash also ends those.
 *
 * <p><b>Algorithm.</b> A crash counts for each part, but the last, of each request that was lost
 * there before it was answered on; the last part belongs to one request or session. A response
 * clears the crashes of its parts, and parts on which an endpoint has recently answered collect
 * none. A part is a suspect when the crash limit is reached.
 *
 * <p>A part that is never answered without the cause collects the same crashes as the cause, which
 * may be another part or the whole content of a request. So a request with a single suspect is
 * served if another one, which the request does not contain, explains the crashes: fewer than the
 * limit are left without it. The responses to such requests clear the part, or their crashes show
 * that it is a cause itself. A request with several suspects is refused.
 *
 * <p>What it does not recognize: a part that crashes only some endpoints, for example those of one
 * software version, as the others clear it; requests that state no parts.
 */
public final class PromptPartQuarantine {

  private final int crashLimit;
  private final Function<CrashSuspect, List<CrashRecord.Crash>> crashes;

  /**
   * Creates a decision.
   *
   * @param crashLimit number of crashes from which a part is a suspect
   * @param crashes returns the crashes of a suspect that are not cleared
   */
  public PromptPartQuarantine(
      int crashLimit, Function<CrashSuspect, List<CrashRecord.Crash>> crashes) {
    this.crashLimit = crashLimit;
    this.crashes = crashes;
  }

  /**
   * Finds the part for which a request is refused.
   *
   * @param parts the parts of its prompt without the last
   * @param quarantined all parts and contents at the limit
   * @return empty if the request may be sent
   */
  public Optional<PromptPartId> refusedPart(
      List<PromptPartId> parts, Collection<CrashSuspect> quarantined) {
    List<PromptPartId> suspects = parts.stream().filter(quarantined::contains).toList();
    if (suspects.isEmpty()) {
      return Optional.empty();
    }
    // Of several, the last is shared by the fewest other requests.
    PromptPartId suspect = suspects.get(suspects.size() - 1);
    boolean explained =
        suspects.size() == 1
            && quarantined.stream()
                .anyMatch(other -> mayExplain(other, suspect) && explains(other, suspect));
    return explained ? Optional.empty() : Optional.of(suspect);
  }

  /** Requests with a crashing part may share a path and a body, which explain nothing then. */
  private static boolean mayExplain(CrashSuspect other, PromptPartId suspect) {
    return !other.equals(suspect) && !(other instanceof PathContent);
  }

  private boolean explains(CrashSuspect other, PromptPartId suspect) {
    return IndependentCrashes.countWithout(suspect, crashes.apply(suspect), crashes.apply(other))
        < crashLimit;
  }
}
