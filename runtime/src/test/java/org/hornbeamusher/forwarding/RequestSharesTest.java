package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.accounts.Quota;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.RequestKind;
import org.hornbeamusher.routes.Route;
import org.hornbeamusher.routes.WeightedTarget;
import org.hornbeamusher.shares.FairShares;
import org.hornbeamusher.shares.ShareSettings;
import org.junit.jupiter.api.Test;

class RequestSharesTest {

  private static final int RANK = 1;
  private static final AdapterVersion ADAPTER = new AdapterVersion(new AdapterKey("m", "a"), 1);
  private static final AdapterVersion MODEL = new AdapterVersion(new AdapterKey("m", ""), 1);
  private static final Route ROUTE = route(RANK);

  private final ManualClock clock = new ManualClock(0);
  private final MetricRegistry registry = new MetricRegistry();

  @Test
  void requestBeyondItsShareIsRefusedWhereNoSlotIsFree() {
    RequestShares shares = shares(true);
    RequestShare beyond = overload(shares, "hot");
    Placement.Assigned lacking = placed(Set.of(MODEL), false, false);
    assertEquals(
        Optional.of(FailureType.SHARE_EXCEEDED),
        shares.refusal("1", beyond, lacking, ADAPTER).map(refusal -> refusal.type()));
    assertEquals(1, registry.counter("entry.shares.refused").getCount());
  }

  /** Guards against refusing borrowers while capacity is idle. */
  @Test
  void requestBeyondItsShareIsServedWhereCapacityIsFree() {
    RequestShares shares = shares(true);
    RequestShare beyond = overload(shares, "hot");
    assertTrue(shares.refusal("1", beyond, placed(Set.of(MODEL), true, false), ADAPTER).isEmpty());
    assertTrue(shares.refusal("1", beyond, placed(Set.of(MODEL), false, true), ADAPTER).isEmpty());
  }

  /** Guards against refusals for want of slots while engines load their base models. */
  @Test
  void requestBeyondItsShareWaitsWhileTheBaseModelIsLoaded() {
    RequestShares shares = shares(true);
    RequestShare beyond = overload(shares, "hot");
    assertTrue(shares.refusal("1", beyond, placed(Set.of(), false, false), ADAPTER).isEmpty());
  }

  @Test
  void requestOfAnotherAccountKeepsItsRankAndWaits() {
    RequestShares shares = shares(true);
    assertTrue(overload(shares, "hot").rank() > RANK);
    RequestShare other = shares.arrived("1", Optional.of(account("other")), ROUTE, "s");
    assertEquals(RANK, other.rank());
    assertTrue(shares.refusal("1", other, placed(Set.of(MODEL), false, false), ADAPTER).isEmpty());
  }

  /** Guards against an account with a priority of its own losing its urgent requests first. */
  @Test
  void urgentRequestsOfAccountWithPriorityAreWithinItsShareFirst() {
    RequestShares shares = shares(true);
    ClientAccount ranked =
        new ClientAccount(new AccountName("ranked"), OptionalInt.of(3), Quota.UNLIMITED);
    int urgentBeyond = 0;
    int otherBeyond = 0;
    for (int i = 0; i < 200; i++) {
      clock.advance(10);
      RequestShare urgent = shares.arrived("1", Optional.of(ranked), route(0), "s");
      shares.started(urgent);
      assertTrue(urgent.rank() >= 3);
      urgentBeyond += urgent.decision().beyond() ? 1 : 0;
      RequestShare other = shares.arrived("2", Optional.of(ranked), route(2), "s");
      otherBeyond += other.decision().beyond() ? 1 : 0;
    }
    assertTrue(urgentBeyond < otherBeyond / 2, urgentBeyond + " and " + otherBeyond);
  }

  @Test
  void callersWithoutAccountsKeepTheirRank() {
    RequestShares shares = shares(true);
    RequestShare last = null;
    for (int i = 0; i < 100; i++) {
      last = shares.arrived("1", Optional.empty(), ROUTE, "s");
    }
    assertEquals(RANK, last.rank());
  }

  @Test
  void allRequestsKeepTheirRankWhenTheFeatureIsOff() {
    assertFalse(overload(shares(false), "hot").rank() > RANK);
  }

  private static Route route(int rank) {
    return new Route(
        "chat-" + rank,
        "h",
        "/",
        RequestKind.STREAMING,
        3_000,
        500,
        rank,
        List.of(new WeightedTarget("s", 1)),
        1,
        false,
        2_000,
        false);
  }

  private RequestShares shares(boolean used) {
    return new RequestShares(
        used,
        new FairShares<InetSocketAddress>(ShareSettings.DEFAULT),
        new ForwardMetrics(registry),
        clock);
  }

  /** Sends many requests of which one in ten starts; returns one beyond the share. */
  private static RequestShare overload(RequestShares shares, String name) {
    RequestShare last = null;
    for (int i = 0; i < 100 && (last == null || !last.decision().beyond()); i++) {
      last = shares.arrived("1", Optional.of(account(name)), ROUTE, "s");
      if (i % 10 == 0) {
        shares.started(last);
      }
    }
    return last;
  }

  private static ClientAccount account(String name) {
    return new ClientAccount(new AccountName(name), OptionalInt.empty(), Quota.UNLIMITED);
  }

  private static Placement.Assigned placed(
      Set<AdapterVersion> resident, boolean canStartNow, boolean canLoadNow) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId("e"), 0),
            "s",
            URI.create("http://h:1"),
            "z",
            8,
            false,
            0,
            resident);
    EndpointView view = new EndpointView(endpoint, 1_000, 2, new EndpointAvailability());
    return new Placement.Assigned(view, canStartNow, 300, 300, canLoadNow, 0);
  }
}
