package org.hornbeamusher.demo;

import java.util.List;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;

/**
 * Services and sizes of one partner's deployment.
 *
 * @param partner the partner
 * @param team the team that owns its services
 * @param zones its availability zones
 * @param modelService its model service
 * @param engineCount number of engines of the model service
 * @param adapterCount number of adapters of the model service
 * @param costWeights weights of load stall and batch efficiency in the routing cost
 * @param plainService its plain service
 * @param plainInstanceCount number of endpoints of the plain service
 * @param nonRepeatablePath the path of the plain service's non-repeatable calls
 */
public record PartnerPlan(
    PartnerId partner,
    TeamId team,
    List<AvailabilityZone> zones,
    ServiceName modelService,
    int engineCount,
    int adapterCount,
    CostWeights costWeights,
    ServiceName plainService,
    int plainInstanceCount,
    String nonRepeatablePath) {

  private static final int ENGINES = 6;
  private static final int PLAIN_INSTANCES = 3;
  private static final int ADAPTERS = 3_000;

  /** Zarqa: roster requests tolerate seconds of latency, and full batches matter most. */
  public static final PartnerPlan ZARQA =
      new PartnerPlan(
          new PartnerId("zarqa"),
          new TeamId("dispatch"),
          zones("marka", "sahab", "ruseifa"),
          new ServiceName("lm-dispatch"),
          ENGINES,
          ADAPTERS,
          new CostWeights(1, 3),
          new ServiceName("haul-api"),
          PLAIN_INSTANCES,
          "/bookings");

  /** Tawhiti: valuation requests must not wait for an adapter load. */
  public static final PartnerPlan TAWHITI =
      new PartnerPlan(
          new PartnerId("tawhiti"),
          new TeamId("valuations"),
          zones("akl-east", "akl-north", "akl-west"),
          new ServiceName("valuer-llm"),
          ENGINES,
          ADAPTERS,
          new CostWeights(3, 1),
          new ServiceName("tradedesk-app"),
          PLAIN_INSTANCES,
          "/deals");

  private static List<AvailabilityZone> zones(String... names) {
    return java.util.Arrays.stream(names).map(AvailabilityZone::new).toList();
  }

  /**
   * Returns the zone of the n-th of several processes that are distributed round-robin over the
   * zones.
   */
  AvailabilityZone zone(int n) {
    return zones.get(n % zones.size());
  }
}
