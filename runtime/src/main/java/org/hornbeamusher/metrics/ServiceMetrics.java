package org.hornbeamusher.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.ServiceName;

/**
 * Measures each service. Names are {@code service.NAME.METRIC}; the metrics are catalogued by
 * {@link ServiceMetric}. Safe for use by several threads at once.
 *
 * <p>Histograms decay: they show about the last five minutes. Batch efficiency is kept as two
 * counters besides its gauge, because a mean of ratios over endpoints of unlike size is not the
 * ratio of the whole, and a reader of the counters can take it over any window.
 */
public final class ServiceMetrics {

  private final MetricRegistry registry;
  private final Map<ServiceName, Service> services = new ConcurrentHashMap<>();
  private final Map<String, ServiceName> owners = new ConcurrentHashMap<>();

  /**
   * Creates metrics in a registry.
   *
   * @param registry the process's registry
   */
  public ServiceMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Returns the registry.
   *
   * @return the registry that the process's other metrics are kept in as well
   */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Records a whole answer.
   *
   * @param service the service
   * @param loadStallMillis how long the request waited for a load
   * @param firstTokenMillis from its arrival to its first token
   * @param totalMillis from its arrival to its end
   */
  public void recordResponse(
      ServiceName service, long loadStallMillis, long firstTokenMillis, long totalMillis) {
    Service metrics = of(service);
    metrics.answered.mark();
    metrics.loadStall.update(loadStallMillis);
    metrics.firstToken.update(firstTokenMillis);
    metrics.total.update(totalMillis);
  }

  /**
   * Records a refusal, or a failure after the request was admitted.
   *
   * @param service the service
   * @param type why
   */
  public void recordRefusal(ServiceName service, FailureType type) {
    counterOf(service, type).inc();
  }

  /**
   * Takes one sample of an endpoint's batch. Samples are taken at equal intervals, and only while
   * something runs or waits there; an endpoint without work fills no batch and wastes none.
   *
   * @param service the service
   * @param running requests in the batch
   * @param limit most requests the endpoint runs at once
   */
  public void recordBatchSample(ServiceName service, int running, int limit) {
    Service metrics = of(service);
    metrics.running.inc(running);
    metrics.places.inc(limit);
  }

  /**
   * Returns how many requests were refused or failed.
   *
   * @param service the service
   * @param type why
   * @return since the process started
   */
  public long refusedCount(ServiceName service, FailureType type) {
    return counterOf(service, type).getCount();
  }

  /**
   * Returns how many requests were refused or failed, by type.
   *
   * @param service the service
   * @return since the process started; only types that occurred
   */
  public Map<FailureType, Long> refusals(ServiceName service) {
    Map<FailureType, Long> counts = new EnumMap<>(FailureType.class);
    of(service).refusals.forEach((type, counter) -> counts.put(type, counter.getCount()));
    return counts;
  }

  /**
   * Returns how many requests were answered whole.
   *
   * @param service the service
   * @return since the process started
   */
  public long responseCount(ServiceName service) {
    return of(service).answered.getCount();
  }

  /**
   * Returns the batch efficiency since the process started.
   *
   * @param service the service
   * @return from 0 to 1; 0 when no sample was taken
   */
  public double batchEfficiency(ServiceName service) {
    return of(service).efficiency();
  }

  /**
   * Finds whose metric this is.
   *
   * @param metricName a name in the registry
   * @return its service, or empty for a metric of the whole process
   */
  public Optional<ServiceName> serviceOf(String metricName) {
    return Optional.ofNullable(owners.get(metricName));
  }

  private Counter counterOf(ServiceName service, FailureType type) {
    return of(service)
        .refusals
        .computeIfAbsent(
            type, t -> registry.counter(name(service, ServiceMetric.REFUSED) + suffix(service, t)));
  }

  private String suffix(ServiceName service, FailureType type) {
    String suffix = "." + type.label();
    owners.put(name(service, ServiceMetric.REFUSED) + suffix, service);
    return suffix;
  }

  private Service of(ServiceName service) {
    Service known = services.get(service);
    return known != null ? known : services.computeIfAbsent(service, Service::new);
  }

  private String name(ServiceName service, ServiceMetric metric) {
    String name = "service." + service + "." + metric.label();
    owners.put(name, service);
    return name;
  }

  private final class Service {

    final Meter answered;
    final Histogram loadStall;
    final Histogram firstToken;
    final Histogram total;
    final Counter running;
    final Counter places;
    final Map<FailureType, Counter> refusals = new ConcurrentHashMap<>();

    Service(ServiceName service) {
      answered = registry.meter(name(service, ServiceMetric.ANSWERED));
      loadStall = registry.histogram(name(service, ServiceMetric.LOAD_STALL));
      firstToken = registry.histogram(name(service, ServiceMetric.FIRST_TOKEN));
      total = registry.histogram(name(service, ServiceMetric.TOTAL));
      running = registry.counter(name(service, ServiceMetric.BATCH_RUNNING));
      places = registry.counter(name(service, ServiceMetric.BATCH_PLACES));
      Gauge<Double> efficiency = this::efficiency;
      registry.gauge(name(service, ServiceMetric.BATCH_EFFICIENCY), () -> efficiency);
    }

    double efficiency() {
      long possible = places.getCount();
      return possible == 0 ? 0 : (double) running.getCount() / possible;
    }
  }
}
