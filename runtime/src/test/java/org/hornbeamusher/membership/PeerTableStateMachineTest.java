package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.hornbeamusher.ids.ProcessIncarnation;

/** Any order of lists, introductions, leavings and lost connections at one address. */
class PeerTableStateMachineTest {

  private static final String ADDRESS = "10.0.0.1:7400";
  private static final long NONE = -1;

  @Property(seed = "62", tries = 1_000)
  void onlyProcessThatIntroducedItselfAndDoesNotLeaveTakesWork(
      @ForAll("chains") ActionChain<World> chain) {
    chain
        .withInvariant("no work for one that leaves", World::noWorkForLeaving)
        .withInvariant("work for one that is there", World::workForPresent)
        .run();
  }

  @Provide
  ActionChainArbitrary<World> chains() {
    return ActionChain.startWith(World::new)
        .withAction(3, new Listed())
        .withAction(4, new Introduced())
        .withAction(2, new Leaving())
        .withAction(2, new Disconnected())
        .withMaxTransformations(30);
  }

  /** What happened, told in the simplest way; the table must agree with it. */
  private static final class World {

    private final PeerTable table = new PeerTable();
    private long connection;
    private long process;
    private boolean connected;
    private boolean leaving;
    private long listedLeaving = NONE;
    private long lastLeft = NONE;

    void noWorkForLeaving() {
      if (!connected || leaving) {
        assertFalse(table.availablePeers().contains(ADDRESS));
      }
    }

    void workForPresent() {
      if (connected && !leaving) {
        assertTrue(table.availablePeers().contains(ADDRESS));
      }
    }
  }

  private static final class Listed implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.longs()
          .between(0, 4)
          .flatMap(
              instance ->
                  Arbitraries.of(true, false)
                      .map(
                          leaving ->
                              Transformer.mutate(
                                  "list " + instance + " leaving " + leaving,
                                  world -> list(world, instance, leaving))));
    }

    private static void list(World world, long instance, boolean leaving) {
      world.table.updateFromList(List.of(new PeerListEntry(ADDRESS, "i-" + instance, leaving)));
      world.listedLeaving = leaving ? instance : NONE;
      world.leaving |= world.connected && world.process == world.listedLeaving;
    }
  }

  /** A process comes in on a later connection, or an earlier one's message arrives late. */
  private static final class Introduced implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.longs()
          .between(0, 4)
          .flatMap(
              process ->
                  Arbitraries.of(true, true, false)
                      .map(
                          later ->
                              Transformer.mutate(
                                  "process " + process + " later " + later,
                                  world -> introduce(world, process, later))));
    }

    private static void introduce(World world, long process, boolean later) {
      long connection = later ? world.connection + 1 : world.connection - 1;
      world.table.helloReceived(
          ADDRESS, connection, "i-" + process, new ProcessIncarnation(process));
      if (!later && world.connected) {
        return;
      }
      if (world.connected && world.process != process) {
        world.lastLeft = world.leaving ? world.process : NONE;
      }
      boolean same = world.connected && world.process == process;
      world.leaving =
          (same && world.leaving) || world.lastLeft == process || world.listedLeaving == process;
      world.connection = connection;
      world.process = process;
      world.connected = true;
    }
  }

  private static final class Leaving implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.longs()
          .between(0, 4)
          .map(process -> Transformer.mutate("leaving " + process, world -> leave(world, process)));
    }

    private static void leave(World world, long process) {
      world.table.leavingReceived(ADDRESS, new ProcessIncarnation(process));
      if (world.connected && world.process == process) {
        world.leaving = true;
      }
    }
  }

  private static final class Disconnected implements Action.Independent<World> {
    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.of(true, true, false)
          .map(
              current ->
                  Transformer.mutate(
                      "disconnected, current " + current, world -> disconnect(world, current)));
    }

    private static void disconnect(World world, boolean current) {
      world.table.disconnected(ADDRESS, current ? world.connection : world.connection - 1);
      if (current && world.connected) {
        world.lastLeft = world.leaving ? world.process : NONE;
        world.connected = false;
      }
    }
  }
}
