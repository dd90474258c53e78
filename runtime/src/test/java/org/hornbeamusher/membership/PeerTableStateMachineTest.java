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

/**
 * Applies random sequences of lists, hello messages, leaving messages and lost connections to one
 * address and compares the table with a simple model.
 */
class PeerTableStateMachineTest {

  private static final String ADDRESS = "10.0.0.1:7400";
  private static final long NONE = -1;

  @Property(seed = "62", tries = 1_000)
  void onlyConnectedProcessThatIsNotLeavingAcceptsRequests(
      @ForAll("chains") ActionChain<World> chain) {
    chain
        .withInvariant(
            "a leaving or disconnected process is not available",
            World::unavailableUnlessConnectedAndStaying)
        .withInvariant(
            "a connected process that is not leaving is available",
            World::availableWhileConnectedAndStaying)
        .run();
  }

  @Provide
  ActionChainArbitrary<World> chains() {
    return ActionChain.startWith(World::new)
        .withAction(3, new ListReceived())
        .withAction(4, new HelloReceived())
        .withAction(2, new LeavingReceived())
        .withAction(2, new Disconnected())
        .withMaxTransformations(30);
  }

  /** A simple model of the events, with which the table must agree. */
  private static final class World {

    private final PeerTable table = new PeerTable();
    private long connection;
    private long process;
    private boolean connected;
    private boolean leaving;
    private long listedLeavingInstance = NONE;
    private long departedProcess = NONE;

    void unavailableUnlessConnectedAndStaying() {
      if (!connected || leaving) {
        assertFalse(table.availablePeers().contains(ADDRESS));
      }
    }

    void availableWhileConnectedAndStaying() {
      if (connected && !leaving) {
        assertTrue(table.availablePeers().contains(ADDRESS));
      }
    }
  }

  private static final class ListReceived implements Action.Independent<World> {
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
                                  "list instance " + instance + ", leaving: " + leaving,
                                  world -> list(world, instance, leaving))));
    }

    private static void list(World world, long instance, boolean leaving) {
      world.table.updateFromList(List.of(new PeerListEntry(ADDRESS, "i-" + instance, leaving)));
      world.listedLeavingInstance = leaving ? instance : NONE;
      world.leaving |= world.connected && world.process == world.listedLeavingInstance;
    }
  }

  /** A hello on a later connection, or a delayed one from an earlier connection. */
  private static final class HelloReceived implements Action.Independent<World> {
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
                                  "hello of process " + process + ", later connection: " + later,
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
        world.departedProcess = world.leaving ? world.process : NONE;
      }
      boolean same = world.connected && world.process == process;
      world.leaving =
          (same && world.leaving)
              || world.departedProcess == process
              || world.listedLeavingInstance == process;
      world.connection = connection;
      world.process = process;
      world.connected = true;
    }
  }

  private static final class LeavingReceived implements Action.Independent<World> {
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
                      "disconnect current connection: " + current,
                      world -> disconnect(world, current)));
    }

    private static void disconnect(World world, boolean current) {
      world.table.disconnected(ADDRESS, current ? world.connection : world.connection - 1);
      if (current && world.connected) {
        world.departedProcess = world.leaving ? world.process : NONE;
        world.connected = false;
      }
    }
  }
}
