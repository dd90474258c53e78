package org.hornbeamusher.forecast;

/**
 * Decides whether a request joins the queue of an endpoint, and whether it is refused because it
 * would be served too late.
 *
 * <p><b>Load.</b> More requests arrive for adapters that are not loaded than adapter slots become
 * free, as in a burst or at the crest of a wave of demand. If all of them wait, the queue grows
 * until the wait is as long as the target latency, and from then on every request is served just
 * after its target: the capacity is used, and nobody is in time. A queue that contains only what
 * can be in time stays short, and its requests are in time.
 *
 * <ol>
 *   <li>A request that cannot get its first event within the caller's time is refused.
 *   <li>A request that is expected to miss its target latency where others wait for the same
 *       capacity does not join their queue. It is held at the entry while it would be in time if it
 *       got capacity at once, and placed as soon as one of the other rules allows it.
 *   <li>After that it is refused, and its caller receives the time at which capacity is expected.
 *   <li>All others are placed, late ones where nothing else waits.
 * </ol>
 *
 * <p>Example: an engine frees an adapter slot every 250 ms, a load and a prompt take 320 ms, and
 * the target latency is 800 ms. A request is placed there if no other waits (570 ms). If one does
 * (820 ms) it is held for 400 ms, in which another engine may get a free slot.
 *
 * <p>A request that may have run is refused only by the first rule. Its refusal could not state
 * that it did not run, so its caller could not return.
 *
 * <p>Rejected: refusing at once, because estimates of waits are uncertain and most callers return
 * only once; holding beyond the target, because what is late then takes capacity from what is not;
 * placing all requests that the best recent error would let be in time, because queues then stay as
 * long as the target latency.
 */
public final class LateRequestPolicy {

  /** How old an entry's knowledge of a queue is at most; in this time others may have joined it. */
  public static final long KNOWLEDGE_AGE_MILLIS = 100;

  private LateRequestPolicy() {}

  /**
   * Decides about one request.
   *
   * @param outlook what is known about it
   * @return what happens to it
   */
  public static Decision decide(Outlook outlook) {
    if (outlook.forecast().estimateMillis() > outlook.timeLeftMillis()) {
      return Decision.DEADLINE_MISSED;
    }
    long targetLeft = outlook.targetLeftMillis();
    boolean late = outlook.forecast().expectedMillis() + KNOWLEDGE_AGE_MILLIS > targetLeft;
    if (!late || !outlook.othersWait() || !outlook.notRun()) {
      return Decision.PLACED;
    }
    return outlook.serviceMillis() + KNOWLEDGE_AGE_MILLIS <= targetLeft
        ? Decision.HELD
        : Decision.GIVES_WAY;
  }

  /** What happens to a request. */
  public enum Decision {
    /** It is placed at the endpoint, or stays there. */
    PLACED,
    /** It waits at the entry for capacity that nothing else waits for. */
    HELD,
    /** It is refused: it cannot be served within the caller's time. */
    DEADLINE_MISSED,
    /** It is refused: it would be late, and others wait for the capacity that it would take. */
    GIVES_WAY
  }

  /**
   * What decides about a request.
   *
   * @param forecast its first event at the best endpoint
   * @param serviceMillis time until its first event if it got capacity at once
   * @param targetLeftMillis time until its target latency; negative once that has passed
   * @param timeLeftMillis time until its first event is useless to the caller
   * @param othersWait whether other requests wait for capacity at that endpoint
   * @param notRun whether it has certainly not run
   */
  public record Outlook(
      FirstEventForecast forecast,
      long serviceMillis,
      long targetLeftMillis,
      long timeLeftMillis,
      boolean othersWait,
      boolean notRun) {}
}
