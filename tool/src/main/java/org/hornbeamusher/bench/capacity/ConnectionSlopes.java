package org.hornbeamusher.bench.capacity;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireConnector;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireServer;
import org.hornbeamusher.wire.WireSettings;
import org.hornbeamusher.wire.WireSockets;

/**
 * Measures the marginal cost of real connections on the loopback interface. Both ends are in this
 * process, so one end costs half of the measured value; both ends use the same class and do the
 * same work.
 */
final class ConnectionSlopes {

  private static final int[] ENTRIES_PER_AGENT = {100, 200, 400};
  private static final int[] AGENTS_PER_ENTRY = {350, 700, 1_400};
  private static final long MEASUREMENT_MILLIS = 4_000;
  private static final long WARM_MILLIS = 2_000;
  private static final long OPEN_POLL_MILLIS = 50;
  private static final long OPEN_TIMEOUT_MILLIS = 60_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final int ENDS = 2;

  private ConnectionSlopes() {}

  /** Measures heap and CPU time of one end, for an agent with many entries and vice versa. */
  static List<Slope> measure() throws InterruptedException {
    List<Slope> slopes = new ArrayList<>();
    slopes.addAll(measure("entry's connection at an agent", ENTRIES_PER_AGENT, false));
    slopes.addAll(measure("agent's connection at an entry", AGENTS_PER_ENTRY, true));
    return slopes;
  }

  private static List<Slope> measure(String name, int[] counts, boolean manyServers)
      throws InterruptedException {
    // The first connections run code that is not yet compiled and would appear more expensive than
    // the later ones.
    new Mesh(counts[counts.length - 1], manyServers).warm();
    double[] xs = new double[counts.length];
    double[] heap = new double[counts.length];
    double[] cpu = new double[counts.length];
    for (int i = 0; i < counts.length; i++) {
      long before = Probes.heapBytes();
      Mesh mesh = new Mesh(counts[i], manyServers);
      mesh.open();
      heap[i] = (double) (Probes.heapBytes() - before) / ENDS;
      cpu[i] = mesh.cpuMicrosPerSecond() / ENDS;
      xs[i] = counts[i];
      mesh.close();
    }
    return List.of(
        Slope.fit(name + ", heap", "bytes", xs, heap),
        Slope.fit(name + ", idle for a second", "us of CPU", xs, cpu));
  }

  private static final class Mesh implements WireListener {

    private final int count;
    private final boolean manyServers;
    private final List<WireServer> servers = new ArrayList<>();
    private final List<WireConnector> connectors = new ArrayList<>();
    private final AtomicInteger opened = new AtomicInteger();

    Mesh(int count, boolean manyServers) {
      this.count = count;
      this.manyServers = manyServers;
    }

    private static Message.Hello hello(String role, int number) {
      String instance = role + "-" + number;
      return new Message.Hello(1, 1, role, instance, number, "z-0", instance, "engines");
    }

    void open() throws InterruptedException {
      for (int i = 0; i < count; i++) {
        if (manyServers || i == 0) {
          servers.add(server(i));
        }
        WireConnector connector =
            new WireConnector(
                servers.getLast().boundAddress(),
                hello("entry", i),
                this,
                WireSettings.DEFAULT,
                new WireSockets.Plain(),
                SystemClock.INSTANCE);
        connector.start();
        connectors.add(connector);
      }
      awaitOpen();
      Thread.sleep(WARM_MILLIS);
    }

    private WireServer server(int number) {
      WireServer server =
          new WireServer(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              hello("agent", number),
              new IgnoringListener(),
              WireSettings.DEFAULT,
              new WireSockets.Plain(),
              SystemClock.INSTANCE);
      server.start();
      return server;
    }

    private void awaitOpen() throws InterruptedException {
      long until = SystemClock.INSTANCE.millis() + OPEN_TIMEOUT_MILLIS;
      while (opened.get() < count) {
        if (SystemClock.INSTANCE.millis() > until) {
          throw HornbeamusherException.notRun(
              FailureType.CONNECT_FAILED, "loopback", opened.get() + " of " + count);
        }
        Thread.sleep(OPEN_POLL_MILLIS);
      }
    }

    void warm() throws InterruptedException {
      open();
      Thread.sleep(MEASUREMENT_MILLIS);
      close();
      Thread.sleep(WARM_MILLIS);
    }

    double cpuMicrosPerSecond() throws InterruptedException {
      long before = Probes.processCpuNanos();
      Thread.sleep(MEASUREMENT_MILLIS);
      double nanos = Probes.processCpuNanos() - before;
      return nanos / NANOS_PER_MICRO / MEASUREMENT_MILLIS * MILLIS_PER_SECOND;
    }

    void close() {
      connectors.forEach(WireConnector::stop);
      servers.forEach(WireServer::stop);
    }

    @Override
    public void opened(WireConnection connection, Message.Hello peer) {
      opened.incrementAndGet();
    }

    @Override
    public void received(WireConnection connection, Message message) {}

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {}
  }

  private static final class IgnoringListener implements WireListener {

    @Override
    public void opened(WireConnection connection, Message.Hello peer) {}

    @Override
    public void received(WireConnection connection, Message message) {}

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {}
  }
}
