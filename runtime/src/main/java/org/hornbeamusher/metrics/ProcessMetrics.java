package org.hornbeamusher.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.function.IntSupplier;

/** Measures the process as a whole. Safe for use by several threads at once. */
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
   * Finds a metric that counts.
   *
   * @param metric one of kind meter
   * @return the meter, created on first use
   */
  public Meter meter(ProcessMetric metric) {
    return registry.meter(metric.fullName());
  }

  /**
   * Registers a metric that is read when somebody asks.
   *
   * @param metric one of kind gauge
   * @param value reads it
   */
  public void gauge(ProcessMetric metric, IntSupplier value) {
    Gauge<Integer> gauge = value::getAsInt;
    registry.gauge(metric.fullName(), () -> gauge);
  }
}
