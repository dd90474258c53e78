package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.placement.EndpointView;
import org.junit.jupiter.api.Test;

/** When requests leave an engine that its agent does not see. */
class UnseenEnginesTest {

  private static final long CHECK_MILLIS = 50;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final EndpointView engine = engine(7);
  private final List<EndpointView> left = new ArrayList<>();
  private EndpointCheck.Result result = EndpointCheck.Result.ALIVE;
  private boolean affected = true;
  private int checks;
  private long checkMillis = CHECK_MILLIS;
  private final UnseenEngines unseen =
      new UnseenEngines(this::check, new Requests(), loop, loop.clock());

  /** Guards against a second run at another engine while the first works on. */
  @Test
  void requestsStayAtAnEngineThatAnswers() {
    unseen.unseen(engine);
    pass(10_000);
    assertEquals(List.of(), left);
    assertTrue(checks > 10, "checks " + checks);
  }

  /** Guards against checks of an engine whose streams show that it works. */
  @Test
  void engineThatSendsEventsIsNotChecked() {
    unseen.unseen(engine);
    int before = checks;
    for (int i = 0; i < 50; i++) {
      engine.received(loop.clock().millis());
      pass(100);
    }
    assertEquals(List.of(), left);
    assertTrue(checks <= before + 1, "checks " + checks);
  }

  /** Guards against callers that wait for an engine that has ended. */
  @Test
  void requestsLeaveAtOnceAnEngineThatDoesNotListen() {
    result = EndpointCheck.Result.ENDED;
    unseen.unseen(engine);
    pass(2 * CHECK_MILLIS);
    assertEquals(List.of(engine), left);
    assertEquals(0, unseen.size());
  }

  /** Guards against callers that wait for an engine whose machine is gone. */
  @Test
  void requestsLeaveAnEngineThatDoesNotAnswer() {
    result = EndpointCheck.Result.UNKNOWN;
    unseen.unseen(engine);
    pass(2 * CHECK_MILLIS);
    assertEquals(List.of(engine), left);
  }

  /** Guards against a second run because this entry had no processor time. */
  @Test
  void timeoutThatIsNoticedLateDoesNotCount() {
    result = EndpointCheck.Result.UNKNOWN;
    checkMillis = 2_000;
    unseen.unseen(engine);
    pass(1_000);
    checkMillis = CHECK_MILLIS;
    result = EndpointCheck.Result.ALIVE;
    pass(5_000);
    assertEquals(List.of(), left);
  }

  /** Guards against an engine that ends after it was found alive, and is noticed by nobody. */
  @Test
  void requestsLeaveAnEngineThatEndsLater() {
    unseen.unseen(engine);
    pass(5_000);
    result = EndpointCheck.Result.ENDED;
    pass(UnseenEngines.CHECK_INTERVAL_MILLIS + 2 * CHECK_MILLIS);
    assertEquals(List.of(engine), left);
  }

  /** Guards against an engine that is no longer checked because its start became known. */
  @Test
  void engineIsStillCheckedOnceItsStartIsKnown() {
    EndpointView unknownStart = engine(EndpointIncarnation.UNKNOWN_START);
    unseen.unseen(unknownStart);
    pass(1_000);
    unknownStart.updateFromList(engine(7).endpoint(), loop.clock().millis());
    result = EndpointCheck.Result.ENDED;
    pass(1_000);
    assertEquals(List.of(unknownStart), left);
  }

  /** Guards against checks without end. */
  @Test
  void engineIsNotCheckedWithoutRequestsOrOnceItsAgentSeesIt() {
    unseen.unseen(engine);
    pass(2 * CHECK_MILLIS);
    unseen.seen(engine.incarnation());
    int before = checks;
    pass(5_000);
    assertEquals(before, checks);
    unseen.unseen(engine);
    affected = false;
    pass(5_000);
    assertEquals(before + 1, checks);
    assertEquals(0, unseen.size());
  }

  private static EndpointView engine(long startMillis) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId("e"), startMillis),
            "s",
            URI.create("http://127.0.0.1:1"),
            "z",
            8,
            false,
            0,
            Set.of());
    return new EndpointView(endpoint, 0, 0, new EndpointAvailability());
  }

  private void pass(long millis) {
    loop.runUntil(loop.clock().millis() + millis);
  }

  private CompletableFuture<EndpointCheck.Result> check(EndpointView checked) {
    checks++;
    CompletableFuture<EndpointCheck.Result> answer = new CompletableFuture<>();
    EndpointCheck.Result given = result;
    loop.after(checkMillis, () -> answer.complete(given));
    return answer;
  }

  private final class Requests implements UnseenEngines.Listener {

    @Override
    public boolean isAffected(EndpointView view) {
      return affected;
    }

    @Override
    public void unreachable(EndpointView view) {
      left.add(view);
    }
  }
}
