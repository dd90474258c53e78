package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.endpoint.EngineOrders;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.lease.FencingLease;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.SchedulerSettings;
import org.hornbeamusher.table.MemoryTable;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What reaches an endpoint whose agent leaves. */
class AgentLeavingTest {

  private static final EndpointId ID = new EndpointId("e");
  private static final long DRAINED_MILLIS = 2_000;
  private static final long DEADLINE_MILLIS = 60_000;
  private static final int BATCH = 2;

  private final ManualClock clock = new ManualClock(0);
  private final List<String> paths = new CopyOnWriteArrayList<>();
  private final List<Message> sent = new CopyOnWriteArrayList<>();
  private final HttpClient http = new HttpClient(1);
  private final Undertow endpoint =
      Undertow.builder()
          .addHttpListener(0, "127.0.0.1")
          .setHandler(exchange -> paths.add(exchange.getRequestPath()))
          .build();
  private AgentShell shell;

  /** Runs when an entry is notified that its request starts. */
  private Runnable atStart = () -> {};

  @BeforeEach
  void start() {
    endpoint.start();
    http.start();
    InetSocketAddress at = (InetSocketAddress) endpoint.getListenerInfo().get(0).getAddress();
    URI uri = URI.create("http://127.0.0.1:" + at.getPort());
    shell =
        new AgentShell(
            new AgentShell.AgentSetup(
                ID,
                uri,
                false,
                new EngineFencing(new FencingLease(new MemoryTable(), ID, "agent")),
                () -> {}),
            new AgentScheduler(
                new SchedulerSettings(0, BATCH, 100, 1_000, 1_000, 500, false, Map.of())),
            new EngineOrders(ID, uri, http, 1_000),
            http,
            adapter -> "",
            new NoTurns(),
            clock);
  }

  @AfterEach
  void stop() {
    http.stop();
    endpoint.stop();
  }

  /** A start that was decided in time and held up reached the endpoint after it was drained. */
  @Test
  void startThatIsHeldUpIsGivenBack() throws InterruptedException {
    Entry entry = new Entry();
    atStart =
        () -> {
          atStart = () -> {};
          shell.dispatch(entry, dispatch(2, "/held-up"));
          shell.leave();
          clock.advance(DRAINED_MILLIS);
        };
    shell.dispatch(entry, dispatch(1, "/first"));
    while (paths.size() + failures().size() < 2) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertEquals(List.of("/held-up"), paths);
    assertEquals(1, failures().size());
    assertEquals(FailureType.ENDPOINT_LEAVING.number(), failures().get(0).failure());
    assertEquals("not-run", failures().get(0).outcome());
    assertTrue(shell.outstanding() <= 1);
  }

  private List<Message.Failed> failures() {
    return sent.stream()
        .filter(Message.Failed.class::isInstance)
        .map(Message.Failed.class::cast)
        .toList();
  }

  private static Message.Dispatch dispatch(long attempt, String path) {
    return new Message.Dispatch(
        attempt,
        "r" + attempt,
        "POST",
        path,
        "text/plain",
        new byte[0],
        "",
        "zarqa",
        "haul-api",
        "caller",
        10,
        DEADLINE_MILLIS,
        DEADLINE_MILLIS,
        1,
        1,
        1,
        1,
        100,
        "",
        1_000_000);
  }

  private final class Entry implements WireConnection {

    @Override
    public boolean send(Message message) {
      sent.add(message);
      if (message instanceof Message.Started) {
        atStart.run();
      }
      return true;
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "entry", "entry-1", 1, "a", "", "");
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void stop() {}
  }

  private static final class NoTurns implements PermitExchange.Turns {

    @Override
    public void ask(PartnerId partner, double demand) {}

    @Override
    public void done() {}
  }
}
