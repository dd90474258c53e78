package org.hornbeamusher.forwarding;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;

/**
 * What an entry counts: requests by how they ended, attempts by how they ended, and the times that
 * callers feel.
 */
final class ForwardMetrics {

  private static final String PREFIX = "entry.";

  private final MetricRegistry registry;

  ForwardMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** A request is over. */
  void requestEnded(String cause, long tookMillis, long firstMillis) {
    registry.counter(PREFIX + "requests." + cause).inc();
    registry.histogram(PREFIX + "request_ms").update(tookMillis);
    if (firstMillis >= 0) {
      registry.histogram(PREFIX + "first_event_ms").update(firstMillis);
    }
  }

  /** A send to an endpoint is over. */
  void attemptEnded(String end, long tookMillis) {
    registry.counter(PREFIX + "attempts." + end).inc();
    registry.histogram(PREFIX + "attempt_ms").update(tookMillis);
  }

  /** A request waited for its adapter before it was sent. */
  void stalled(long millis) {
    registry.histogram(PREFIX + "load_stall_ms").update(millis);
  }

  /** An entry of the list of endpoints cannot be used, or for another reason than before. */
  void entryUnusable() {
    registry.counter(PREFIX + "list.unusable").inc();
  }

  /** Registers a value that is read when somebody asks. */
  void gauge(String name, Supplier<Number> value) {
    Gauge<Number> gauge = value::get;
    registry.gauge(PREFIX + name, () -> gauge);
  }
}
