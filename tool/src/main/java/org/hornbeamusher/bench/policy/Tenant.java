package org.hornbeamusher.bench.policy;

import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;

/**
 * A partner and its single model service.
 *
 * @param partner the partner
 * @param service the model service
 * @param ownPool pool of its endpoints when the partners do not share capacity
 * @param weights cost weights from the service's document
 * @param meanTokens mean number of output tokens per request
 * @param deadlineMillis time from the arrival of a request to its deadline
 */
record Tenant(
    PartnerId partner,
    ServiceName service,
    PoolName ownPool,
    CostWeights weights,
    int meanTokens,
    long deadlineMillis) {

  /** Tolerates delays of seconds; weights batch efficiency higher. */
  static final Tenant ZARQA = tenant("zarqa", "lm-dispatch", new CostWeights(1, 3), 320, 40_000);

  /** Short responses with tight deadlines; weights load stalls higher. */
  static final Tenant TAWHITI = tenant("tawhiti", "valuer-llm", new CostWeights(3, 1), 150, 12_000);

  /** Pool of both partners when they share capacity. */
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

  /** Requests per second that fill the batches of {@code workers} endpoints. */
  double capacityPerSecond(int workers) {
    double placeMillis =
        SimulationSizes.PREFIX_MILLIS + meanTokens * SimulationSizes.fullBatchMillisPerToken();
    return workers * SimulationSizes.BATCH * 1_000 / placeMillis;
  }
}
