package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.hornbeamusher.admission.AdmissionSettings;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.retry.RetrySettings;
import org.hornbeamusher.routing.RoutingSettings;
import org.hornbeamusher.scheduling.SchedulerFeature;
import org.hornbeamusher.scheduling.SchedulerSettings;

/**
 * A set of policies that is measured as one row of a table.
 *
 * @param name name in the printed table
 * @param strategy strategy for the choice of endpoints
 * @param deadlines whether admission refuses requests that cannot finish by their deadline
 * @param shares whether admission enforces fair shares
 * @param retry retry limits and retry budget
 * @param scheduler change to the settings of the agents' schedulers
 */
record PolicyVariant(
    String name,
    Strategy strategy,
    boolean deadlines,
    boolean shares,
    RetrySettings retry,
    UnaryOperator<SchedulerSettings> scheduler) {

  static final String OURS = "ours";

  private static final RetrySettings NO_BUDGET = new RetrySettings(3, 1e6, 1e6, 3, 50, 1_000);

  static PolicyVariant of(String name, Strategy strategy) {
    return new PolicyVariant(
        name, strategy, true, true, RetrySettings.DEFAULT, UnaryOperator.identity());
  }

  static PolicyVariant ours() {
    return of(OURS, new Strategy.ProductRouter(RoutingSettings.DEFAULT));
  }

  /** The baselines, the product's policies, and these with one feature at a time switched off. */
  static List<PolicyVariant> all() {
    List<PolicyVariant> rows = new ArrayList<>(baselines());
    rows.addAll(withoutRouting());
    PolicyVariant ours = ours();
    rows.add(
        new PolicyVariant(
            "ours, no deadline check at the door",
            ours.strategy,
            false,
            true,
            ours.retry,
            ours.scheduler));
    rows.add(
        new PolicyVariant(
            "ours, no shares at the door", ours.strategy, true, false, ours.retry, ours.scheduler));
    rows.add(
        new PolicyVariant(
            "ours, no retry budget", ours.strategy, true, true, NO_BUDGET, ours.scheduler));
    rows.addAll(withoutScheduling());
    return rows;
  }

  static List<PolicyVariant> baselines() {
    return List.of(
        of("random", new Strategy.Random()),
        of("least loaded, no locality", new Strategy.LeastLoaded()),
        of("plain rendezvous hash", new Strategy.PlainRendezvous()),
        ours());
  }

  private static List<PolicyVariant> withoutRouting() {
    RoutingSettings all = RoutingSettings.DEFAULT;
    return List.of(
        routing("residency reports", switched(all, false, true, true, true)),
        routing("spill", switched(all, true, false, true, true)),
        routing("own work", switched(all, true, true, false, true)),
        routing("ejection", switched(all, true, true, true, false)),
        routing("zone preference", settings(all, 0, all.prefixSavingMillis())),
        routing("prefix memory", settings(all, all.crossZoneMillis(), 0)));
  }

  private static PolicyVariant routing(String mechanism, RoutingSettings settings) {
    return of("ours, no " + mechanism, new Strategy.ProductRouter(settings));
  }

  private static RoutingSettings switched(
      RoutingSettings all, boolean residency, boolean spill, boolean ownWork, boolean ejection) {
    return new RoutingSettings(
        all.candidateCount(),
        all.crossZoneMillis(),
        all.loadMillis(),
        all.prefixSavingMillis(),
        residency,
        spill,
        ownWork,
        ejection);
  }

  private static RoutingSettings settings(
      RoutingSettings all, long crossZoneMillis, long prefixMillis) {
    return new RoutingSettings(
        all.candidateCount(),
        crossZoneMillis,
        all.loadMillis(),
        prefixMillis,
        true,
        true,
        true,
        true);
  }

  private static List<PolicyVariant> withoutScheduling() {
    List<PolicyVariant> rows = new ArrayList<>();
    rows.add(scheduling("paced loads", PolicyVariant::withoutPermits));
    for (SchedulerFeature mechanism : SchedulerFeature.values()) {
      String name = mechanism.name().toLowerCase(Locale.ROOT).replace('_', ' ') + " at the agent";
      rows.add(scheduling(name, settings -> settings.without(mechanism)));
    }
    return rows;
  }

  private static PolicyVariant scheduling(
      String mechanism, UnaryOperator<SchedulerSettings> change) {
    PolicyVariant ours = ours();
    return new PolicyVariant(
        "ours, no " + mechanism, ours.strategy, true, true, ours.retry, change);
  }

  private static SchedulerSettings withoutPermits(SchedulerSettings all) {
    return new SchedulerSettings(
        all.slots(),
        all.batch(),
        all.queueLimit(),
        all.minimumStayMillis(),
        all.tokensPerSecond(),
        all.loadMillis(),
        false,
        all.partnerShares());
  }

  /** Admission settings of one entry for a pool with the given number of endpoints. */
  AdmissionSettings admission(int endpoints, Map<PartnerId, Integer> partnerShares) {
    int slots = endpoints * SimulationSizes.BATCH;
    long limit = AdmissionSettings.limit(slots, SimulationSizes.ENTRIES);
    return new AdmissionSettings(
        limit,
        AdmissionSettings.DEFAULT_OVERSHOOT,
        AdmissionSettings.DEFAULT_BORROWABLE_FRACTION,
        AdmissionSettings.DEFAULT_IDLE_TIMEOUT_MILLIS,
        deadlines,
        shares,
        partnerShares);
  }
}
