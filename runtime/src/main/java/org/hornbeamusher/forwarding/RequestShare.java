package org.hornbeamusher.forwarding;

import org.hornbeamusher.shares.ShareDecision;
import org.hornbeamusher.shares.ShareId;

/**
 * What an admitted request counts against, and whether it is within it.
 *
 * @param id the share
 * @param baseRank the priority of the request; 0 is the most urgent
 * @param costMillis the usual duration of a run of its kind
 * @param decision whether it is within the fair share of its account
 */
record RequestShare(ShareId id, int baseRank, long costMillis, ShareDecision decision) {

  /** Returns the priority with which the request is served; 0 is the most urgent. */
  int rank() {
    return decision.effectiveRank(baseRank);
  }
}
