package org.hornbeamusher.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {

  private static final int LIMIT = 48;
  private static final PartnerId ZARQA = new PartnerId("zarqa");
  private static final PartnerId TAWHITI = new PartnerId("tawhiti");

  private final AdmissionPolicy policy = policy();

  // Guards against queueing a request whose estimated end is after its deadline: its caller would
  // learn of it too late to go elsewhere.
  @Test
  void requestThatCannotFinishInTimeIsRefusedAtOnceWithRetryAfter() {
    AdmissionRequest request = request(ZARQA, "desk", 1_000, 4_000);
    AdmissionDecision.Refuse refuse =
        assertInstanceOf(AdmissionDecision.Refuse.class, policy.admit(request, 0));
    assertEquals(FailureType.DEADLINE_TOO_NEAR, refuse.type());
    assertEquals(3_000, refuse.retryAfterMillis());
    assertEquals(0, policy.inFlight());
  }

  @Test
  void idleCapacityIsLent() {
    assertEquals(LIMIT, admitted(ZARQA, "desk", LIMIT));
  }

  // One partner floods the pool. Requests of the other must be admitted at once, not when the flood
  // has ended.
  @Test
  void returningPartnerGetsItsShareAtOnceAndBorrowerIsRefused() {
    admitted(ZARQA, "desk", 1_000);
    assertEquals(LIMIT / 2, admitted(TAWHITI, "yard", LIMIT / 2));
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(ZARQA, "desk"), 0));
  }

  // One caller of a partner sends a hundred times what the others send. They must not be refused
  // for
  // it.
  @Test
  void hotCallerDoesNotReduceSharesOfOthers() {
    admitted(TAWHITI, "batch", 1_000);
    assertEquals(LIMIT / 3, admitted(TAWHITI, "yard", LIMIT / 3));
    assertEquals(LIMIT / 3, admitted(TAWHITI, "desk", LIMIT / 3));
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(TAWHITI, "batch"), 0));
  }

  // The queue consists of a flood that is served after this caller. The estimated wait counts it,
  // and the caller must not be refused for a wait that it would not have.
  @Test
  void callerBelowItsShareIsNotRefusedForTheQueueOfOthers() {
    admitted(ZARQA, "desk", 1_000);
    AdmissionRequest request = request(TAWHITI, "yard", 5_000, 9_000);
    assertInstanceOf(AdmissionDecision.Admit.class, policy.admit(request, 0));
  }

  // No other caller is active. A burst that can finish in time is admitted completely: refusing a
  // part of it would leave the pool idle afterwards.
  @Test
  void burstOfSingleCallerIsLimitedByDeadlineOnly() {
    assertEquals(3 * LIMIT, admitted(ZARQA, "desk", 3 * LIMIT));
    AdmissionRequest late = request(ZARQA, "desk", 5_000, 9_000);
    assertRefused(FailureType.DEADLINE_TOO_NEAR, policy.admit(late, 0));
  }

  // A caller at its fair share is admitted again as soon as one of its requests ends. Long requests
  // are in flight for longer, so their caller reaches its share with fewer of them.
  @Test
  void endOfRequestFreesItsShare() {
    admitted(TAWHITI, "yard", 1);
    admitted(ZARQA, "desk", 1_000);
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(ZARQA, "desk"), 0));
    policy.finished(request(ZARQA, "desk"), true, 0);
    assertInstanceOf(AdmissionDecision.Admit.class, policy.admit(request(ZARQA, "desk"), 0));
  }

  // Random arrivals and ends of requests of both partners. An entry that admits more than its limit
  // runs out of memory before it refuses; a caller refused below its fair share gets less than its
  // partner's guarantee.
  @Property(seed = "88", tries = 300)
  void limitHoldsAndCallersBelowTheirShareAreAdmitted(
      @ForAll @Size(max = 300) List<@IntRange(max = 5) Integer> steps) {
    AdmissionPolicy one = policy();
    List<AdmissionRequest> inFlight = new ArrayList<>();
    Map<CallerId, Integer> counts = new HashMap<>();
    for (int step : steps) {
      PartnerId partner = step % 2 == 0 ? ZARQA : TAWHITI;
      AdmissionRequest request = request(partner, partner + "-" + step % 3);
      if (step == 5 && !inFlight.isEmpty()) {
        AdmissionRequest ended = inFlight.removeFirst();
        one.finished(ended, true, 0);
        counts.merge(ended.caller(), -1, Integer::sum);
        continue;
      }
      int held = counts.getOrDefault(request.caller(), 0);
      switch (one.admit(request, 0)) {
        case AdmissionDecision.Admit admit -> {
          inFlight.add(request);
          counts.merge(request.caller(), 1, Integer::sum);
        }
        case AdmissionDecision.Refuse refuse -> assertTrue(held >= LIMIT / 2 / 3);
      }
      assertEquals(inFlight.size(), one.inFlight());
      assertTrue(one.inFlight() <= 2 * LIMIT);
    }
  }

  private int admitted(PartnerId partner, String caller, int offered) {
    int admitted = 0;
    for (int i = 0; i < offered; i++) {
      AdmissionDecision decision = policy.admit(request(partner, caller), 0);
      admitted += decision instanceof AdmissionDecision.Admit ? 1 : 0;
    }
    return admitted;
  }

  private static AdmissionPolicy policy() {
    return new AdmissionPolicy(AdmissionSettings.of(LIMIT, Map.of(ZARQA, 1, TAWHITI, 1)));
  }

  private static AdmissionRequest request(PartnerId partner, String caller) {
    return request(partner, caller, 10_000, 1_000);
  }

  private static AdmissionRequest request(
      PartnerId partner, String caller, long deadlineMillis, long estimatedMillis) {
    return new AdmissionRequest(
        partner,
        new ServiceName(partner + "-model"),
        new CallerId(caller),
        100,
        deadlineMillis,
        estimatedMillis,
        1,
        1);
  }

  private static void assertRefused(FailureType type, AdmissionDecision decision) {
    assertEquals(type, assertInstanceOf(AdmissionDecision.Refuse.class, decision).type());
  }
}
