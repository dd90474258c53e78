package org.hornbeamusher.metrics;

import io.prometheus.client.Collector.MetricFamilySamples.Sample;
import io.prometheus.client.dropwizard.samplebuilder.DefaultSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.ServiceName;

/**
 * Converts the service in a metric's name to a Prometheus label. In the name, both {@code a.b} and
 * {@code a-b} would become {@code a_b}, and two services would share one metric.
 */
final class ServiceSampleBuilder implements SampleBuilder {

  private static final String PREFIX = "hornbeamusher.";

  private final SampleBuilder delegate = new DefaultSampleBuilder();
  private final ServiceMetrics metrics;

  ServiceSampleBuilder(ServiceMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public Sample createSample(
      String name, String suffix, List<String> labelNames, List<String> labelValues, double value) {
    Optional<ServiceName> service = metrics.serviceOf(name);
    if (service.isEmpty()) {
      return delegate.createSample(PREFIX + name, suffix, labelNames, labelValues, value);
    }
    List<String> names = new ArrayList<>(labelNames);
    List<String> values = new ArrayList<>(labelValues);
    names.add("service");
    values.add(service.get().value());
    String metric = name.substring(("service." + service.get() + ".").length());
    return delegate.createSample(PREFIX + "service." + metric, suffix, names, values, value);
  }
}
