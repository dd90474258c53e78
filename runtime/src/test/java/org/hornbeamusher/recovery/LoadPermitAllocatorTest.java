package org.hornbeamusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadPermitAllocatorTest {

  private static final int LIMIT = StoreConcurrencyLimit.INITIAL;
  private static final long LOAD_MILLIS = 300;

  private final LoadPermitAllocator<Integer> allocator = new LoadPermitAllocator<>(0);

  @Test
  void greatestDemandIsServedFirst() {
    occupy(allocator.maxLoads() - 1);
    request(1, 1, 2, 0, 0);
    request(2, 1, 9, 0, 0);
    assertEquals(List.of(2), granted(0));
  }

  @Test
  void lateRequestsAreServedAfterThoseOnTime() {
    occupy(allocator.maxLoads() - 1);
    request(1, 1, 0, 0, 0);
    request(2, 1, 1, 0, 0);
    assertEquals(List.of(2), granted(10));
    allocator.loadsReported(100, 0);
    assertEquals(List.of(1), granted(20));
  }

  @Test
  void nothingIsGrantedAtTheLimit() {
    occupy(allocator.maxLoads());
    request(1, 1, 5, 0, 0);
    assertEquals(List.of(), granted(0));
  }

  @Test
  void unusedPermitExpires() {
    occupy(allocator.maxLoads() - 1);
    request(1, 1, 5, 0, 0);
    assertEquals(List.of(1), granted(0));
    request(2, 1, 50, 0, 300);
    assertEquals(List.of(), granted(300));
    assertEquals(List.of(2), granted(LoadPermitAllocator.PERMIT_EXPIRY_MILLIS));
  }

  @Test
  void permitOfLostAgentIsFree() {
    occupy(allocator.maxLoads() - 1);
    request(1, 1, 5, 0, 0);
    granted(0);
    request(2, 1, 1, 0, 0);
    allocator.agentLost(1);
    assertEquals(List.of(2), granted(0));
  }

  @Test
  void pacingEndsWhenFewLoadsAreInProgress() {
    request(1, 0, 0, 0, 0);
    assertTrue(last(allocator.poll(0)).paced());
    assertEquals(List.of(), allocator.poll(LoadPermitAllocator.UNPACED_AFTER_MILLIS - 1));
    assertFalse(last(allocator.poll(LoadPermitAllocator.UNPACED_AFTER_MILLIS)).paced());
    occupy(LIMIT);
    assertTrue(last(allocator.poll(2_000)).paced());
  }

  /** Guards against two entries that both grant permits to an agent. */
  @Test
  void agentThatHasChosenAnotherCoordinatorIsOnlyCounted() {
    request(1, 1, 5, 0, 0);
    allocator.loadsReported(1, 3);
    allocator.released(1);
    assertFalse(allocator.isCoordinator());
    assertEquals(List.of(), granted(0));
    assertEquals(3, allocator.loadsInProgress(0));
  }

  /** Guards against a coordinator that learns the limit anew after it has replaced another. */
  @Test
  void limitIsHandedOverByTheFirstAgent() {
    allocator.request(1, new LoadPermitRequest(1, StoreLoadDemand.NONE, 0, 0, 40), 0);
    allocator.request(2, new LoadPermitRequest(1, StoreLoadDemand.NONE, 0, 0, 10), 0);
    assertEquals(40, allocator.concurrencyLimit());
  }

  /**
   * Whatever agents ask for, at most as many loads are in progress as the limit, and an agent that
   * keeps asking is served.
   */
  @Property(tries = 100, seed = "4258")
  void loadsStayWithinTheLimitAndNobodyStarves(
      @ForAll @IntRange(min = 1, max = 60) int agents, @ForAll long seed) {
    LoadPermitAllocator<Integer> shared = new LoadPermitAllocator<>(0);
    Random random = new Random(seed);
    Map<Integer, Long> used = new HashMap<>();
    Map<Integer, Long> askedSince = new HashMap<>();
    ArrayDeque<long[]> loads = new ArrayDeque<>();
    Map<Integer, Integer> loading = new HashMap<>();
    long longestWait = 0;
    for (long now = 0; now < 20_000; now += 20) {
      while (!loads.isEmpty() && loads.peek()[0] <= now) {
        int agent = (int) loads.poll()[1];
        loading.merge(agent, -1, Integer::sum);
        shared.loadsReported(agent, loading.get(agent));
      }
      for (int agent = 0; agent < agents; agent++) {
        // Some agents have many callers in time, others only late ones, all the time.
        int onTime = agent % 3 == 0 ? 0 : random.nextInt(20);
        request(shared, agent, 1, onTime, used.getOrDefault(agent, 0L), now);
        askedSince.putIfAbsent(agent, now);
      }
      for (LoadPermitAllocator.Reply<Integer> reply : shared.poll(now)) {
        int agent = reply.agent();
        while (used.getOrDefault(agent, 0L) < reply.response().grantedPermits()) {
          used.merge(agent, 1L, Long::sum);
          loading.merge(agent, 1, Integer::sum);
          loads.add(new long[] {now + LOAD_MILLIS, agent});
          longestWait = Math.max(longestWait, now - askedSince.remove(agent));
          askedSince.put(agent, now);
          shared.loadsReported(agent, loading.get(agent));
          request(shared, agent, 1, 0, used.get(agent), now);
        }
      }
      if (!shared.paced()) {
        askedSince.clear();
      }
      assertTrue(loads.size() <= shared.maxLoads(), loads.size() + " loads");
      assertTrue(loading.values().stream().allMatch(count -> count <= 4));
    }
    for (long since : askedSince.values()) {
      longestWait = Math.max(longestWait, 20_000 - since);
    }
    long roundMillis = agents * LOAD_MILLIS / LIMIT;
    long bound = LoadPermitAllocator.LONGEST_WAIT_INTERVAL * roundMillis + 1_000;
    assertTrue(longestWait <= bound, "longest wait, ms: " + longestWait);
  }

  private void occupy(int loads) {
    allocator.loadsReported(100, loads);
  }

  private void request(int agent, int adapters, int onTime, long used, long now) {
    request(allocator, agent, adapters, onTime, used, now);
  }

  private static void request(
      LoadPermitAllocator<Integer> at, int agent, int adapters, int onTime, long used, long now) {
    at.request(
        agent, new LoadPermitRequest(1, new StoreLoadDemand(adapters, onTime), used, 0, 0), now);
  }

  private List<Integer> granted(long now) {
    List<Integer> granted = new ArrayList<>();
    for (LoadPermitAllocator.Reply<Integer> reply : allocator.poll(now)) {
      if (reply.response().grantedPermits() > 0) {
        granted.add(reply.agent());
      }
    }
    return granted;
  }

  private static LoadPermitResponse last(List<LoadPermitAllocator.Reply<Integer>> replies) {
    return replies.getLast().response();
  }
}
