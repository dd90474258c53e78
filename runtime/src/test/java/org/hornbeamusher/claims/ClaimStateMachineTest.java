package org.hornbeamusher.claims;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.InMemoryTable;

/**
 * Applies random sequences of claims, dispatches, outcomes, table outages and lost responses to
 * three entries and checks that the request runs at most once.
 */
class ClaimStateMachineTest {

  private static final long START_MILLIS = 1_764_700_000_000L;
  private static final int ENTRY_COUNT = 3;

  @Property(seed = "61", tries = 1_000)
  void nothingRunsTwice(@ForAll("chains") ActionChain<World> chain) {
    chain
        .withInvariant("the request runs at most once", world -> assertTrue(world.runs <= 1))
        .withInvariant(
            "a request reported as not run did not run",
            world -> assertTrue(world.reportedNotRun.stream().noneMatch(world::ran)))
        .run();
  }

  @Provide
  ActionChainArbitrary<World> chains() {
    return ActionChain.startWith(World::new)
        .withAction(6, new Send())
        .withAction(4, new Dispatch())
        .withAction(4, new Finish())
        .withAction(2, new LoseResponses())
        .withAction(1, new Outage())
        .withAction(2, new RetryPendingWrites())
        .withAction(2, new AdvanceClock())
        .withMaxTransformations(40);
  }

  private static final class World {

    private final InMemoryTable table = new InMemoryTable();
    private final ManualClock clock = new ManualClock(START_MILLIS);
    private final IdempotencyKey key = ClaimKey.make(START_MILLIS, 1, 2);
    private final List<ClaimStore> entries = new ArrayList<>();
    private final List<HeldClaim> held = new ArrayList<>();
    private final List<ClaimToken> reportedNotRun = new ArrayList<>();
    private final Map<ClaimToken, Integer> runsByToken = new HashMap<>();
    private int runs;
    private int tokenCount;

    World() {
      for (int i = 0; i < ENTRY_COUNT; i++) {
        entries.add(
            new ClaimStore(
                table, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("t-" + ++tokenCount)));
      }
    }

    boolean ran(ClaimToken token) {
      return runsByToken.containsKey(token);
    }
  }

  private static final class HeldClaim {

    private final int entry;
    private final Claim claim;
    private boolean dispatched;

    HeldClaim(int entry, Claim claim) {
      this.entry = entry;
      this.claim = claim;
    }
  }

  private static final class Send implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.integers()
          .between(0, ENTRY_COUNT - 1)
          .map(entry -> Transformer.mutate("send to " + entry, world -> send(world, entry)));
    }

    private static void send(World world, int entry) {
      long expiry = world.clock.millis() + 10_000;
      ClaimResult result =
          world
              .entries
              .get(entry)
              .claim(new ServiceName("haul-api"), world.key, "print", expiry)
              .join();
      if (result instanceof ClaimResult.Acquired won) {
        world.held.add(new HeldClaim(entry, won.claim()));
      }
    }
  }

  /** Every entry dispatches the claims that it has acquired, unless they have expired. */
  private static final class Dispatch implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.just(Transformer.mutate("dispatch", Dispatch::dispatch));
    }

    private static void dispatch(World world) {
      for (HeldClaim held : world.held) {
        if (!held.dispatched && held.claim.mayDispatch(world.clock.millis())) {
          held.dispatched = true;
          world.runs++;
          world.runsByToken.merge(held.claim.token(), 1, Integer::sum);
        }
      }
    }
  }

  private static final class Finish implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.of(true, false)
          .map(
              known ->
                  Transformer.mutate(
                      "finish, outcome known: " + known, world -> finish(world, known)));
    }

    private static void finish(World world, boolean known) {
      if (world.held.isEmpty()) {
        return;
      }
      HeldClaim held = world.held.removeFirst();
      Outcome outcome = held.dispatched ? Outcome.RAN : Outcome.NOT_RUN;
      Outcome reported = known ? outcome : Outcome.UNKNOWN;
      world.entries.get(held.entry).finish(held.claim, reported, Optional.empty()).join();
      if (reported.equals(Outcome.NOT_RUN)) {
        world.reportedNotRun.add(held.claim.token());
      }
    }
  }

  private static final class LoseResponses implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.integers()
          .between(1, 9)
          .map(
              n ->
                  Transformer.mutate(
                      "lose responses: " + n, world -> world.table.loseResponses(n)));
    }
  }

  private static final class Outage implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.of(true, false)
          .map(down -> Transformer.mutate("table down: " + down, world -> world.table.down(down)));
    }
  }

  private static final class RetryPendingWrites implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.just(
          Transformer.mutate(
              "retry pending writes",
              world -> world.entries.forEach(ClaimStore::retryPendingWrites)));
    }
  }

  private static final class AdvanceClock implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.longs()
          .between(1, 30_000)
          .map(
              millis ->
                  Transformer.mutate(
                      "advance clock by " + millis, world -> world.clock.advance(millis)));
    }
  }
}
