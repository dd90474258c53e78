package org.hornbeamusher.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.function.IntSupplier;

/** Metrics of the process as a whole. Thread-safe. */
public final class ProcessMetrics {

  private final MetricRegistry registry;

  /**
   * Creates metrics in a registry.
   *
   * @param registry the process's registry
   */
  public ProcessMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Returns a meter.
   *
   * @param metric a metric of kind meter
   * @return the meter, created on first use
   */
  public Meter meter(ProcessMetric metric) {
    return registry.meter(metric.fullName());
  }

  /**
   * Registers a gauge.
   *
   * @param metric a metric of kind gauge
   * @param value supplies the value whenever the metric is read
   */
  public void gauge(ProcessMetric metric, IntSupplier value) {
    Gauge<Integer> gauge = value::getAsInt;
    registry.gauge(metric.fullName(), () -> gauge);
  }
}
