package org.hornbeamusher.availability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when requests may be sent to an endpoint. */
class EndpointAvailabilityTest {

  private static final EndpointId ID = new EndpointId("i-1");

  private final EndpointAvailability endpoint = new EndpointAvailability();

  /** Each number is a Retry-After time in milliseconds or, if negative, a step of the clock. */
  @Property(seed = "36")
  void requestsAreSentOnlyAfterTheLatestRetryAfterTime(
      @ForAll @Size(max = 40) List<@IntRange(min = -900, max = 900) Integer> steps) {
    EndpointAvailability availability = new EndpointAvailability();
    long now = 0;
    long end = 0;
    for (int step : steps) {
      if (step < 0) {
        now -= step;
      } else {
        availability.recordRetryAfter(new RetryAfter.Millis(step), now);
        end = Math.max(end, now + step);
      }
      boolean sent = availability.decide(now) instanceof SendDecision.Now;
      assertEquals(now >= end, sent);
      assertEquals(Math.max(0, end - now), availability.backoffMillis(now));
    }
  }

  @Test
  void shorterTimeDoesNotEndLongerOne() {
    endpoint.recordRetryAfter(new RetryAfter.Millis(3_000), 0);
    endpoint.recordRetryAfter(new RetryAfter.Millis(100), 1_000);
    assertEquals(new SendDecision.Later(2_000), endpoint.decide(1_000));
  }

  @Test
  void responseWithoutTimeDoesNotEndBackoff() {
    endpoint.recordRetryAfter(new RetryAfter.Millis(3_000), 0);
    endpoint.recordRetryAfter(new RetryAfter.None(), 1_000);
    endpoint.recordRetryAfter(new RetryAfter.Unreadable(), 1_000);
    assertEquals(new SendDecision.Later(2_000), endpoint.decide(1_000));
  }

  @Test
  void hugeTimeDoesNotOverflow() {
    endpoint.recordRetryAfter(RetryAfter.parse(List.of("1e300")), 1_000);
    assertInstanceOf(SendDecision.Later.class, endpoint.decide(1_000_000));
  }

  @Test
  void leavingEndpointNeverAcceptsRequestsAgain() {
    endpoint.recordLeaving();
    assertEquals(new SendDecision.Never(), endpoint.decide(Long.MAX_VALUE));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "soon", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"})
  void invalidTimeIsRejected(String text) {
    assertInstanceOf(RetryAfter.Unreadable.class, RetryAfter.parse(List.of(text)));
  }

  /** Guards against a back-off caused by the Retry-After of a redirect or a failure. */
  @ParameterizedTest
  @ValueSource(ints = {200, 301, 421, 500, 502})
  void onlyRefusalsCauseBackoff(int status) {
    assertEquals(new RetryAfter.None(), RetryAfter.of(status, List.of("3")));
  }

  @Test
  void longestValidTimeApplies() {
    assertEquals(
        new RetryAfter.Millis(1_500), RetryAfter.parse(List.of("1", "later", " 1.5 ", "0.2")));
  }

  /** Guards against losing a back-off when a list entry expires and returns. */
  @Test
  void availabilityIsKeptPerIncarnation() {
    AvailabilityRegistry register = new AvailabilityRegistry();
    EndpointAvailability first = register.of(new EndpointIncarnation(ID, 100));
    assertSame(first, register.of(new EndpointIncarnation(ID, 100)));
    assertNotSame(first, register.of(new EndpointIncarnation(ID, 200)));
  }

  /** Guards against applying a back-off to the next incarnation if the start time was unknown. */
  @Test
  void availabilityIsNotKeptForTheNextIncarnation() {
    AvailabilityRegistry register = new AvailabilityRegistry();
    EndpointAvailability first =
        register.of(new EndpointIncarnation(ID, EndpointIncarnation.UNKNOWN_START));
    assertSame(first, register.of(new EndpointIncarnation(ID, 100)));
    assertTrue(first != register.of(new EndpointIncarnation(ID, 200)));
  }
}
