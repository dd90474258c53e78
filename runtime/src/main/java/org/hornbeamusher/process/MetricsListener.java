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

/** Serves a metric registry in the Prometheus text format, at every path of an address. */
public final class MetricsListener {

  /**
   * Delay of the start: callers wait for a starting process, but nobody reads its metrics in the
   * first seconds.
   */
  private static final long START_DELAY_MILLIS = 3_000;

  private final InetSocketAddress address;
  private final XnioWorker worker;
  private final CollectorRegistry collectors = new CollectorRegistry();
  private Undertow server;

  /**
   * Creates a listener that is not started.
   *
   * @param address the address to listen at
   * @param worker the worker that handles its connections
   * @param registry the metrics to serve
   */
  public MetricsListener(InetSocketAddress address, XnioWorker worker, MetricRegistry registry) {
    this.address = address;
    this.worker = worker;
    collectors.register(new DropwizardExports(registry));
  }

  /** Starts listening. */
  public void start() {
    server =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(this::serve)
            .build();
    server.start();
  }

  /**
   * Starts listening after a delay, so that the process first does what callers wait for.
   *
   * @param loop the event loop of the process
   */
  public void startDelayed(EventLoop loop) {
    loop.after(START_DELAY_MILLIS, this::start);
  }

  /** Stops listening. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  private void serve(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
    exchange.getResponseSender().send(render());
  }

  private String render() {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw HornbeamusherException.of(FailureType.INTERNAL, Outcome.RAN, e).causedBy(e);
    }
    return text.toString();
  }
}
