package org.hornbeamusher.agent;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.endpoint.EngineOrderClient;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.SchedulerSettings;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/** An {@link EndpointExecutor} with a plain endpoint on loopback and an entry connection. */
final class EndpointExecutorFixture implements AutoCloseable {

  private static final EndpointId ID = new EndpointId("e");
  private static final long DEADLINE_MILLIS = 60_000;
  private static final int BATCH = 2;

  final ManualClock clock = new ManualClock(0);
  final EndpointExecutor executor;

  private final List<String> paths = new CopyOnWriteArrayList<>();
  private final List<Message> sent = new CopyOnWriteArrayList<>();
  private final Entry entry = new Entry();
  private final HttpClient http = new HttpClient(1);
  private final HttpHandler handler;
  private final Undertow endpoint =
      Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(this::handle).build();
  private Runnable startAction = () -> {};

  /** Starts the fixture; the endpoint answers all requests with the given handler. */
  EndpointExecutorFixture(HttpHandler handler) {
    this.handler = handler;
    endpoint.start();
    http.start();
    InetSocketAddress at = (InetSocketAddress) endpoint.getListenerInfo().get(0).getAddress();
    URI uri = URI.create("http://127.0.0.1:" + at.getPort());
    executor =
        new EndpointExecutor(
            new EndpointExecutor.EndpointParameters(
                ID,
                uri,
                false,
                new EngineFencing(new FencingNumberAllocator(new InMemoryTable(), ID, "agent")),
                () -> {}),
            new AgentScheduler(
                new SchedulerSettings(0, BATCH, 100, 1_000, 1_000, 500, false, Map.of())),
            new EngineOrderClient(ID, uri, http, 1_000),
            http,
            adapter -> "",
            new NoPermits(),
            clock);
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    paths.add(exchange.getRequestPath());
    handler.handleRequest(exchange);
  }

  /** Runs an action once, when the entry is notified that its next request starts. */
  void onNextStart(Runnable action) {
    startAction =
        () -> {
          startAction = () -> {};
          action.run();
        };
  }

  /** Dispatches a request from the entry to the agent. */
  void dispatch(long attempt, String path) {
    executor.dispatch(
        entry,
        new Message.Dispatch(
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
            1_000_000));
  }

  /** Returns the paths of the requests that reached the endpoint. */
  List<String> paths() {
    return List.copyOf(paths);
  }

  /** Returns the failures of requests that the entry has received. */
  List<Message.Failed> failures() {
    return sent.stream()
        .filter(Message.Failed.class::isInstance)
        .map(Message.Failed.class::cast)
        .toList();
  }

  /** Returns the statuses of the responses that the entry has received. */
  List<Integer> statuses() {
    return sent.stream()
        .filter(Message.Head.class::isInstance)
        .map(one -> ((Message.Head) one).status())
        .toList();
  }

  /** Returns the number of requests that have ended at the entry. */
  long ended() {
    return sent.stream()
        .filter(one -> one instanceof Message.Failed || one instanceof Message.ResponseEnd)
        .count();
  }

  @Override
  public void close() {
    http.stop();
    endpoint.stop();
  }

  private final class Entry implements WireConnection {

    @Override
    public boolean send(Message message) {
      sent.add(message);
      if (message instanceof Message.Started) {
        startAction.run();
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
    public boolean receivingLargeMessage() {
      return false;
    }

    @Override
    public void close() {}
  }

  private static final class NoPermits implements PermitExchange.LoadPermits {

    @Override
    public void request(PartnerId partner, double demand) {}

    @Override
    public void release() {}
  }
}
