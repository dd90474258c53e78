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

  // The estimated end lies beyond the deadline. Its caller could go elsewhere now, and would
  // otherwise learn of it when it is too late.
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

  // One partner floods the pool. The other's requests must find room at once, not when the flood
  // has ended.
  @Test
  void partnerThatComesBackGetsItsPartAtOnceAndTheBorrowerIsHeldBack() {
    admitted(ZARQA, "desk", 1_000);
    assertEquals(LIMIT / 2, admitted(TAWHITI, "yard", LIMIT / 2));
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(ZARQA, "desk"), 0));
  }

  // One caller of a partner sends a hundred times what the others do. They must not be refused for
  // it.
  @Test
  void hotCallerDoesNotTakeTheOthersPart() {
    admitted(TAWHITI, "batch", 1_000);
    assertEquals(LIMIT / 3, admitted(TAWHITI, "yard", LIMIT / 3));
    assertEquals(LIMIT / 3, admitted(TAWHITI, "desk", LIMIT / 3));
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(TAWHITI, "batch"), 0));
  }

  // The queue belongs to a flood that is served after this caller. An estimate that counts it would
  // have the caller refused for a wait that it does not have.
  @Test
  void callerBelowItsPartIsNotRefusedForTheQueueOfTheOthers() {
    admitted(ZARQA, "desk", 1_000);
    AdmissionRequest request = request(TAWHITI, "yard", 5_000, 9_000);
    assertInstanceOf(AdmissionDecision.Admit.class, policy.admit(request, 0));
  }

  // Nobody else asks for anything. A burst of which every request can end in time is let in whole:
  // refusing a part of it would leave the pool idle afterwards.
  @Test
  void burstsOfTheOnlyCallerAreBoundedByTheDeadlineAlone() {
    assertEquals(3 * LIMIT, admitted(ZARQA, "desk", 3 * LIMIT));
    AdmissionRequest late = request(ZARQA, "desk", 5_000, 9_000);
    assertRefused(FailureType.DEADLINE_TOO_NEAR, policy.admit(late, 0));
  }

  // Long requests are in flight for longer, so their caller reaches its part with fewer of them.
  @Test
  void endOfRequestFreesItsPlace() {
    admitted(TAWHITI, "yard", 1);
    admitted(ZARQA, "desk", 1_000);
    assertRefused(FailureType.RATE_LIMITED, policy.admit(request(ZARQA, "desk"), 0));
    policy.finished(request(ZARQA, "desk"), true, 0);
    assertInstanceOf(AdmissionDecision.Admit.class, policy.admit(request(ZARQA, "desk"), 0));
  }

  // Requests come and go in any order from both partners. An entry that held more than its bound
  // would run out of memory before it refused; a caller below its part that is refused gets less
  // than its partner was promised.
  @Property(seed = "88", tries = 300)
  void boundHoldsAndWhoIsBelowItsPartIsLetIn(
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
