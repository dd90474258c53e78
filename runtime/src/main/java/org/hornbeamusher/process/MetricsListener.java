package org.hornbeamusher.process;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.loop.EventLoop;
import org.xnio.XnioWorker;

/** Serves a registry of metrics as text, at any path of an address. */
public final class MetricsListener {

  /** Callers wait for a process that starts; nobody reads its figures in its first seconds. */
  private static final long LATER_MILLIS = 3_000;

  private final InetSocketAddress address;
  private final XnioWorker worker;
  private final CollectorRegistry collectors = new CollectorRegistry();
  private Undertow server;

  /**
   * Creates a listener that is not started.
   *
   * @param address where it listens
   * @param worker carries its connections
   * @param registry what it serves
   */
  public MetricsListener(InetSocketAddress address, XnioWorker worker, MetricRegistry registry) {
    this.address = address;
    this.worker = worker;
    collectors.register(new DropwizardExports(registry));
  }

  /** Listens. */
  public void start() {
    server =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(this::answer)
            .build();
    server.start();
  }

  /**
   * Listens once the process has done what callers wait for.
   *
   * @param loop of the process
   */
  public void startDelayed(EventLoop loop) {
    loop.after(LATER_MILLIS, this::start);
  }

  /** Stops listening. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  private void answer(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
    exchange.getResponseSender().send(page());
  }

  private String page() {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw HornbeamusherException.of(FailureType.INTERNAL, Outcome.RAN, e).causedBy(e);
    }
    return text.toString();
  }
}
