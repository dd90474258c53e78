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

/** Any order of sends, runs, ends, outages and lost answers, at three entries. */
class ClaimStateMachineTest {

  private static final long START = 1_764_700_000_000L;
  private static final int ENTRIES = 3;

  @Property(seed = "61", tries = 1_000)
  void nothingRunsTwice(@ForAll("chains") ActionChain<World> chain) {
    chain
        .withInvariant("at most one run", world -> assertTrue(world.runs <= 1))
        .withInvariant(
            "not-run was not run",
            world -> assertTrue(world.toldNotRun.stream().noneMatch(world::ran)))
        .run();
  }

  @Provide
  ActionChainArbitrary<World> chains() {
    return ActionChain.startWith(World::new)
        .withAction(6, new Send())
        .withAction(4, new Run())
        .withAction(4, new End())
        .withAction(2, new LoseAnswers())
        .withAction(1, new Outage())
        .withAction(2, new WriteAgain())
        .withAction(2, new Wait())
        .withMaxTransformations(40);
  }

  private static final class World {

    private final InMemoryTable table = new InMemoryTable();
    private final ManualClock clock = new ManualClock(START);
    private final IdempotencyKey key = ClaimKey.make(START, 1, 2);
    private final List<ClaimStore> entries = new ArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private final List<ClaimToken> toldNotRun = new ArrayList<>();
    private final Map<ClaimToken, Integer> ranFor = new HashMap<>();
    private int runs;
    private int drawn;

    World() {
      for (int i = 0; i < ENTRIES; i++) {
        entries.add(
            new ClaimStore(
                table, ClaimSettings.STANDARD, clock, () -> new ClaimToken("t-" + ++drawn)));
      }
    }

    boolean ran(ClaimToken token) {
      return ranFor.containsKey(token);
    }
  }

  private static final class Held {

    private final int entry;
    private final Claim claim;
    private boolean dispatched;

    Held(int entry, Claim claim) {
      this.entry = entry;
      this.claim = claim;
    }
  }

  private static final class Send implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.integers()
          .between(0, ENTRIES - 1)
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
        world.held.add(new Held(entry, won.claim()));
      }
    }
  }

  /** An entry dispatches what it has won, unless the expiry has passed. */
  private static final class Run implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.just(Transformer.mutate("run", Run::run));
    }

    private static void run(World world) {
      for (Held held : world.held) {
        if (!held.dispatched && held.claim.mayDispatch(world.clock.millis())) {
          held.dispatched = true;
          world.runs++;
          world.ranFor.merge(held.claim.token(), 1, Integer::sum);
        }
      }
    }
  }

  private static final class End implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.of(true, false)
          .map(known -> Transformer.mutate("end, known " + known, world -> end(world, known)));
    }

    private static void end(World world, boolean known) {
      if (world.held.isEmpty()) {
        return;
      }
      Held held = world.held.removeFirst();
      Outcome outcome = held.dispatched ? Outcome.RAN : Outcome.NOT_RUN;
      Outcome told = known ? outcome : Outcome.UNKNOWN;
      world.entries.get(held.entry).finish(held.claim, told, Optional.empty()).join();
      if (told.equals(Outcome.NOT_RUN)) {
        world.toldNotRun.add(held.claim.token());
      }
    }
  }

  private static final class LoseAnswers implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.integers()
          .between(1, 9)
          .map(n -> Transformer.mutate("lose " + n, world -> world.table.loseAnswers(n)));
    }
  }

  private static final class Outage implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.of(true, false)
          .map(down -> Transformer.mutate("down " + down, world -> world.table.down(down)));
    }
  }

  private static final class WriteAgain implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.just(
          Transformer.mutate(
              "write again", world -> world.entries.forEach(ClaimStore::retryPendingWrites)));
    }
  }

  private static final class Wait implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.longs()
          .between(1, 30_000)
          .map(
              millis -> Transformer.mutate("wait " + millis, world -> world.clock.advance(millis)));
    }
  }
}
