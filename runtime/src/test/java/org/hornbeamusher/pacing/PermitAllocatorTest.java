package org.hornbeamusher.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.junit.jupiter.api.Test;

class PermitAllocatorTest {

  private static final PartnerId ZARQA = new PartnerId("zarqa");
  private static final PartnerId TAWHITI = new PartnerId("tawhiti");
  private static final EndpointId ONE = new EndpointId("lm-dispatch-1");
  private static final EndpointId TWO = new EndpointId("valuer-llm-2");
  private static final EndpointId THREE = new EndpointId("valuer-llm-3");

  private final PermitAllocator allocator = new PermitAllocator(PermitSettings.of(Map.of()));

  /**
   * Guards against concurrent loads, each of which would take twice as long. The second agent gets
   * a permit when the first load has ended and half a second has passed since it started.
   */
  @Test
  void onePermitIsOutstandingAndTwoAreGrantedPerSecond() {
    allocator.request(ONE, ZARQA, 5, 1_000);
    allocator.request(TWO, TAWHITI, 1, 1_000);
    assertEquals(new PermitDecision.Grant(ONE, 1, 4_000), allocator.poll(1_000));
    assertEquals(new PermitDecision.Wait(4_000), allocator.poll(1_001));
    allocator.release(ONE, 1);
    assertEquals(new PermitDecision.Wait(1_500), allocator.poll(1_200));
    assertEquals(new PermitDecision.Grant(TWO, 2, 4_500), allocator.poll(1_500));
    allocator.release(TWO, 2);
    assertEquals(new PermitDecision.Wait(Long.MAX_VALUE), allocator.poll(9_000));
  }

  /**
   * Guards against an agent killed during a load whose permit keeps the store idle for ever. The
   * permit expires, and ends at once if the agent is known to be gone.
   */
  @Test
  void permitOfCrashedAgentExpires() {
    allocator.request(ONE, ZARQA, 1, 0);
    allocator.request(TWO, TAWHITI, 1, 0);
    allocator.poll(0);
    assertEquals(new PermitDecision.Wait(3_000), allocator.poll(2_999));
    assertEquals(new PermitDecision.Grant(TWO, 2, 6_000), allocator.poll(3_000));
    allocator.request(THREE, TAWHITI, 1, 3_600);
    allocator.removeAgent(TWO);
    assertEquals(new PermitDecision.Grant(THREE, 3, 6_600), allocator.poll(3_600));
  }

  /** Guards against permits granted to an agent that requested one and was then disconnected. */
  @Test
  void requestThatIsNotRepeatedIsDropped() {
    allocator.request(ONE, ZARQA, 1, 0);
    assertEquals(new PermitDecision.Wait(Long.MAX_VALUE), allocator.poll(3_500));
  }

  /**
   * An agent repeats its request while the grant is in transit. Treated as a new request, it would
   * lead to a second permit, which the agent does not use and which blocks all others until it
   * expires.
   */
  @Test
  void requestThatCrossesTheGrantIsIgnored() {
    allocator.request(ONE, ZARQA, 1, 0);
    allocator.poll(0);
    allocator.request(ONE, ZARQA, 1, 100);
    allocator.release(ONE, 1);
    assertEquals(new PermitDecision.Wait(Long.MAX_VALUE), allocator.poll(600));
  }

  /** The grant was lost with its connection, and the agent requests a permit again. */
  @Test
  void requestAfterLostGrantIsServed() {
    allocator.request(ONE, ZARQA, 1, 0);
    allocator.poll(0);
    allocator.request(ONE, ZARQA, 1, 1_000);
    assertEquals(new PermitDecision.Grant(ONE, 2, 4_000), allocator.poll(1_000));
  }

  /**
   * Guards against starvation of a partner. Zarqa's agents always have far greater demand; by
   * demand alone Tawhiti's single load would never be permitted.
   */
  @Test
  void floodingPartnerDoesNotStarveTheOther() {
    List<EndpointId> order = new ArrayList<>();
    long now = 0;
    allocator.request(TWO, TAWHITI, 0.01, now);
    for (int round = 0; round < 8; round++) {
      allocator.request(ONE, ZARQA, 1_000, now);
      if (allocator.poll(now) instanceof PermitDecision.Grant grant) {
        order.add(grant.agent());
        allocator.release(grant.agent(), grant.grantId());
      }
      allocator.request(TWO, TAWHITI, 0.01, now);
      now += 500;
    }
    assertEquals(List.of(ONE, TWO, ONE, TWO, ONE, TWO, ONE, TWO), order);
  }

  /** Guards against a clock that steps back by an hour and delays every load for an hour. */
  @Test
  void clockSetBackDelaysNextGrantByOneIntervalOnly() {
    allocator.request(ONE, ZARQA, 1, 3_600_000);
    allocator.poll(3_600_000);
    allocator.release(ONE, 1);
    allocator.request(TWO, TAWHITI, 1, 0);
    assertEquals(new PermitDecision.Wait(500), allocator.poll(0));
  }

  /**
   * Random requests, releases and expiries of ten agents of both partners. No two permits may be
   * outstanding at once, grants are at least half a second apart, and a partner that always
   * requests permits gets its share.
   */
  @Property(tries = 200, seed = "551")
  void limitsHoldForRandomHistories(@ForAll long seed) {
    Random random = new Random(seed);
    int zarqaShare = 1 + random.nextInt(3);
    PermitAllocator drawn = new PermitAllocator(PermitSettings.of(Map.of(ZARQA, zarqaShare)));
    Map<EndpointId, PermitDecision.Grant> outstanding = new HashMap<>();
    Map<PartnerId, Integer> permits = new HashMap<>();
    long lastGranted = -500;
    for (long now = 0; now < 120_000; now += 20 + random.nextInt(60)) {
      long time = now;
      outstanding.values().removeIf(grant -> grant.expiresMillis() <= time);
      for (int agent = 0; agent < 10; agent++) {
        EndpointId id = new EndpointId("agent-" + agent);
        if (!outstanding.containsKey(id)) {
          drawn.request(id, agent < 5 ? ZARQA : TAWHITI, 0.1 + random.nextInt(9), now);
        } else if (random.nextInt(10) == 0) {
          drawn.release(id, outstanding.remove(id).grantId());
        }
      }
      if (drawn.poll(now) instanceof PermitDecision.Grant grant) {
        assertTrue(outstanding.isEmpty(), "another permit is outstanding");
        assertTrue(now - lastGranted >= 500, "granted too soon after the last permit");
        lastGranted = now;
        outstanding.put(grant.agent(), grant);
        boolean zarqa = Integer.parseInt(grant.agent().value().substring(6)) < 5;
        permits.merge(zarqa ? ZARQA : TAWHITI, 1, Integer::sum);
      }
    }
    int all = permits.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(all >= 40, "permits " + all);
    double expected = (double) all * zarqaShare / (zarqaShare + 1);
    assertEquals(expected, permits.get(ZARQA), 2);
  }
}
