package org.hornbeamusher.metrics;

import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ServiceName;

/** Formats the metrics that a reader may see, as JSON or in the Prometheus text format. */
public final class MetricsReport {

  /** The media type of {@link #prometheus}. */
  public static final String PROMETHEUS_TYPE = TextFormat.CONTENT_TYPE_004;

  private final ServiceMetrics metrics;

  /**
   * Creates a report.
   *
   * @param metrics the process's metrics
   */
  public MetricsReport(ServiceMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Formats the metrics as JSON.
   *
   * @param visible the services that the reader may see
   * @return one object with gauges, counters, histograms and meters
   */
  public String json(Predicate<ServiceName> visible) {
    MetricsModule module =
        new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false, filter(visible));
    try {
      return new ObjectMapper().registerModule(module).writeValueAsString(metrics.registry());
    } catch (JsonProcessingException e) {
      throw failed(e);
    }
  }

  /**
   * Formats the metrics in the Prometheus text format, version 0.0.4.
   *
   * @param visible the services that the reader may see
   * @return one line per sample
   */
  public String prometheus(Predicate<ServiceName> visible) {
    CollectorRegistry collectors = new CollectorRegistry();
    collectors.register(
        new DropwizardExports(
            metrics.registry(), filter(visible), new ServiceSampleBuilder(metrics)));
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw failed(e);
    }
    return text.toString();
  }

  private MetricFilter filter(Predicate<ServiceName> visible) {
    return (name, metric) -> metrics.serviceOf(name).map(visible::test).orElse(true);
  }

  private static HornbeamusherException failed(Exception cause) {
    return HornbeamusherException.of(FailureType.INTERNAL, Outcome.RAN, cause).causedBy(cause);
  }
}
