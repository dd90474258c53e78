package org.hornbeamusher.metrics;

import io.prometheus.client.Collector.MetricFamilySamples.Sample;
import io.prometheus.client.dropwizard.samplebuilder.DefaultSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.ServiceName;

/**
 * Turns the service in a metric's name into a label. Left in the name, {@code a.b} and {@code a-b}
 * would both become {@code a_b}, and two services would share one line.
 */
final class ServiceLabels implements SampleBuilder {

  private static final String PREFIX = "hornbeamusher.";

  private final SampleBuilder plain = new DefaultSampleBuilder();
  private final ServiceMetrics metrics;

  ServiceLabels(ServiceMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public Sample createSample(
      String name, String suffix, List<String> labelNames, List<String> labelValues, double value) {
    Optional<ServiceName> service = metrics.serviceOf(name);
    if (service.isEmpty()) {
      return plain.createSample(PREFIX + name, suffix, labelNames, labelValues, value);
    }
    List<String> names = new ArrayList<>(labelNames);
    List<String> values = new ArrayList<>(labelValues);
    names.add("service");
    values.add(service.get().value());
    String metric = name.substring(("service." + service.get() + ".").length());
    return plain.createSample(PREFIX + "service." + metric, suffix, names, values, value);
  }
}
