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

class PermitLedgerTest {

  private static final PartnerId ZARQA = new PartnerId("zarqa");
  private static final PartnerId TAWHITI = new PartnerId("tawhiti");
  private static final EndpointId ONE = new EndpointId("lm-dispatch-1");
  private static final EndpointId TWO = new EndpointId("valuer-llm-2");
  private static final EndpointId THREE = new EndpointId("valuer-llm-3");

  private final PermitLedger ledger = new PermitLedger(PermitSettings.of(Map.of()));

  /**
   * Two agents want loads at once. Were both to load, each load would take twice as long. The
   * second gets its turn when the first is over and half a second has passed since the first began.
   */
  @Test
  void oneTurnIsOutAndTwoBeginEachSecond() {
    ledger.ask(ONE, ZARQA, 5, 1_000);
    ledger.ask(TWO, TAWHITI, 1, 1_000);
    assertEquals(new PermitDecision.Grant(ONE, 1, 4_000), ledger.poll(1_000));
    assertEquals(new PermitDecision.Hold(4_000), ledger.poll(1_001));
    ledger.done(ONE, 1);
    assertEquals(new PermitDecision.Hold(1_500), ledger.poll(1_200));
    assertEquals(new PermitDecision.Grant(TWO, 2, 4_500), ledger.poll(1_500));
    ledger.done(TWO, 2);
    assertEquals(new PermitDecision.Hold(Long.MAX_VALUE), ledger.poll(9_000));
  }

  /**
   * An agent is killed while it loads. Its turn would keep the store idle for good; it ends by
   * itself, and at once when the agent is known to be gone.
   */
  @Test
  void turnOfCrashedAgentEnds() {
    ledger.ask(ONE, ZARQA, 1, 0);
    ledger.ask(TWO, TAWHITI, 1, 0);
    ledger.poll(0);
    assertEquals(new PermitDecision.Hold(3_000), ledger.poll(2_999));
    assertEquals(new PermitDecision.Grant(TWO, 2, 6_000), ledger.poll(3_000));
    ledger.ask(THREE, TAWHITI, 1, 3_600);
    ledger.lost(TWO);
    assertEquals(new PermitDecision.Grant(THREE, 3, 6_600), ledger.poll(3_600));
  }

  /** An agent that asked and was cut off must not be given turns that nobody uses. */
  @Test
  void askThatIsNotRepeatedIsForgotten() {
    ledger.ask(ONE, ZARQA, 1, 0);
    assertEquals(new PermitDecision.Hold(Long.MAX_VALUE), ledger.poll(3_500));
  }

  /**
   * An agent repeats its ask in the moment in which its turn is on the way. Taken as a new ask it
   * would earn a second turn, which the agent does not use and which holds up everyone until it
   * expires.
   */
  @Test
  void askThatCrossesTheTurnIsIgnored() {
    ledger.ask(ONE, ZARQA, 1, 0);
    ledger.poll(0);
    ledger.ask(ONE, ZARQA, 1, 100);
    ledger.done(ONE, 1);
    assertEquals(new PermitDecision.Hold(Long.MAX_VALUE), ledger.poll(600));
  }

  /** The answer to the first ask was lost with its connection, and the agent asks again. */
  @Test
  void askAfterLostTurnIsServed() {
    ledger.ask(ONE, ZARQA, 1, 0);
    ledger.poll(0);
    ledger.ask(ONE, ZARQA, 1, 1_000);
    assertEquals(new PermitDecision.Grant(ONE, 2, 4_000), ledger.poll(1_000));
  }

  /**
   * Zarqa's agents have far greater demand, without end. By demand alone Tawhiti's single load
   * would never come, and a salesperson would wait in vain.
   */
  @Test
  void partnerFloodingTheOther() {
    List<EndpointId> order = new ArrayList<>();
    long now = 0;
    ledger.ask(TWO, TAWHITI, 0.01, now);
    for (int turn = 0; turn < 8; turn++) {
      ledger.ask(ONE, ZARQA, 1_000, now);
      if (ledger.poll(now) instanceof PermitDecision.Grant grant) {
        order.add(grant.agent());
        ledger.done(grant.agent(), grant.grant());
      }
      ledger.ask(TWO, TAWHITI, 0.01, now);
      now += 500;
    }
    assertEquals(List.of(ONE, TWO, ONE, TWO, ONE, TWO, ONE, TWO), order);
  }

  /** A clock that steps back by an hour must not hold every load for an hour. */
  @Test
  void clockStepsBack() {
    ledger.ask(ONE, ZARQA, 1, 3_600_000);
    ledger.poll(3_600_000);
    ledger.done(ONE, 1);
    ledger.ask(TWO, TAWHITI, 1, 0);
    assertEquals(new PermitDecision.Hold(500), ledger.poll(0));
  }

  /**
   * Drawn asks, ends, losses and silences of ten agents of both partners. Whatever happens, no two
   * turns are out at once by the ledger's own account, their beginnings are half a second apart,
   * and a partner that asks all the time gets its share.
   */
  @Property(tries = 200, seed = "551")
  void boundsHoldForDrawnHistories(@ForAll long seed) {
    Random random = new Random(seed);
    int zarqaShare = 1 + random.nextInt(3);
    PermitLedger drawn = new PermitLedger(PermitSettings.of(Map.of(ZARQA, zarqaShare)));
    Map<EndpointId, PermitDecision.Grant> out = new HashMap<>();
    Map<PartnerId, Integer> turns = new HashMap<>();
    long lastBegan = -500;
    for (long now = 0; now < 120_000; now += 20 + random.nextInt(60)) {
      long time = now;
      out.values().removeIf(grant -> grant.expiresMillis() <= time);
      for (int agent = 0; agent < 10; agent++) {
        EndpointId id = new EndpointId("agent-" + agent);
        if (!out.containsKey(id)) {
          drawn.ask(id, agent < 5 ? ZARQA : TAWHITI, 0.1 + random.nextInt(9), now);
        } else if (random.nextInt(10) == 0) {
          drawn.done(id, out.remove(id).grant());
        }
      }
      if (drawn.poll(now) instanceof PermitDecision.Grant grant) {
        assertTrue(out.isEmpty(), "a turn is out");
        assertTrue(now - lastBegan >= 500, "too soon");
        lastBegan = now;
        out.put(grant.agent(), grant);
        boolean zarqa = Integer.parseInt(grant.agent().value().substring(6)) < 5;
        turns.merge(zarqa ? ZARQA : TAWHITI, 1, Integer::sum);
      }
    }
    int all = turns.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(all >= 40, "turns " + all);
    double expected = (double) all * zarqaShare / (zarqaShare + 1);
    assertEquals(expected, turns.get(ZARQA), 2);
  }
}
