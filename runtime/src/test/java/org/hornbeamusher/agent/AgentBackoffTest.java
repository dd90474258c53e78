package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.StatedRetryAfter;
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

/** What reaches an endpoint that wants no requests for a while. */
class AgentBackoffTest {

  private static final EndpointId ID = new EndpointId("e");
  private static final long BACKOFF_MILLIS = 3_000;
  private static final long DEADLINE_MILLIS = 60_000;
  private static final int BATCH = 2;

  private final ManualClock clock = new ManualClock(0);
  private final List<String> paths = new CopyOnWriteArrayList<>();
  private final List<Message> sent = new CopyOnWriteArrayList<>();
  private final HttpClient http = new HttpClient(1);
  private final Undertow endpoint =
      Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(this::refuse).build();
  private AgentShell shell;

  /** Runs when an entry is notified that its request starts. */
  private Runnable atStart = () -> {};

  private void refuse(HttpServerExchange exchange) {
    paths.add(exchange.getRequestPath());
    exchange.setStatusCode(503);
    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "3");
  }

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

  /** An agent sent the next request to an endpoint that had asked it for a pause. */
  @Test
  void requestIsGivenBackBeforeTheRetryAfterOfTheEndpointEnds() throws InterruptedException {
    Entry entry = new Entry();
    shell.dispatch(entry, dispatch(1, "/first"));
    awaitEnd(1);
    shell.dispatch(entry, dispatch(2, "/early"));
    awaitEnd(2);
    assertEquals(List.of("/first"), paths);
    assertEquals(FailureType.ENDPOINT_BACKOFF.number(), failures().get(0).failure());
    assertEquals("not-run", failures().get(0).outcome());
    assertEquals(BACKOFF_MILLIS, failures().get(0).retryAfterMillis());
    clock.advance(BACKOFF_MILLIS);
    shell.dispatch(entry, dispatch(3, "/later"));
    awaitEnd(3);
    assertEquals(List.of("/first", "/later"), paths);
  }

  /** A request that had been decided to start reached an endpoint that had asked for a pause. */
  @Test
  void startThatIsHeldUpIsGivenBack() throws InterruptedException {
    Entry entry = new Entry();
    atStart =
        () -> {
          atStart = () -> {};
          shell.backedOff(new StatedRetryAfter.Millis(BACKOFF_MILLIS));
        };
    shell.dispatch(entry, dispatch(1, "/held-up"));
    awaitEnd(1);
    assertEquals(List.of(), paths);
    assertEquals(FailureType.ENDPOINT_BACKOFF.number(), failures().get(0).failure());
  }

  private void awaitEnd(int attempts) throws InterruptedException {
    while (ended() < attempts) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private long ended() {
    return sent.stream()
        .filter(one -> one instanceof Message.Failed || one instanceof Message.Closing)
        .count();
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
