package org.hornbeamusher.bench.policy;

import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;

/**
 * A partner with its one model service.
 *
 * @param partner the partner
 * @param service its service
 * @param ownPool its endpoints when capacity is not pooled
 * @param weights from its document
 * @param meanTokens of a request
 * @param deadlineMillis of a request
 */
record Tenant(
    PartnerId partner,
    ServiceName service,
    PoolName ownPool,
    CostWeights weights,
    int meanTokens,
    long deadlineMillis) {

  /** Tolerant of seconds, weighs batch efficiency more. */
  static final Tenant ZARQA = tenant("zarqa", "lm-dispatch", new CostWeights(1, 3), 320, 40_000);

  /** Short answers, cannot wait, weighs load stalls more. */
  static final Tenant TAWHITI = tenant("tawhiti", "valuer-llm", new CostWeights(3, 1), 150, 12_000);

  /** Where both run when they pool. */
  static final PoolName SHARED_POOL = new PoolName("shared");

  private static Tenant tenant(
      String partner, String service, CostWeights weights, int tokens, long deadlineMillis) {
    return new Tenant(
        new PartnerId(partner),
        new ServiceName(service),
        new PoolName(service),
        weights,
        tokens,
        deadlineMillis);
  }

  /** Requests a second that fill the batches of {@code workers} endpoints. */
  double capacityPerSecond(int workers) {
    double placeMillis = Sizes.PREFIX_MILLIS + meanTokens * Sizes.fullBatchMillisPerToken();
    return workers * Sizes.BATCH * 1_000 / placeMillis;
  }
}
