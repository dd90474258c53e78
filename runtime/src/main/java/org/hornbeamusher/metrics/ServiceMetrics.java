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
 * Metrics of each service. Names are {@code service.NAME.METRIC}; {@link ServiceMetric} lists the
 * metrics. Thread-safe.
 *
 * <p>Histograms decay: they show about the last five minutes. Besides its gauge, batch efficiency
 * is available as two counters, because the mean of the ratios of endpoints of different sizes is
 * not the ratio of the sums, and because it can be computed from counters over any time window.
 */
public final class ServiceMetrics {

  private final MetricRegistry registry;
  private final Map<ServiceName, MetricsOfService> services = new ConcurrentHashMap<>();
  private final Map<String, ServiceName> serviceByMetricName = new ConcurrentHashMap<>();

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
   * @return the registry, which also contains the process's other metrics
   */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Records a complete response.
   *
   * @param service the service
   * @param loadStallMillis time that the request waited for a load
   * @param firstTokenMillis time from its arrival to its first token
   * @param totalMillis time from its arrival to the end of the response
   */
  public void recordResponse(
      ServiceName service, long loadStallMillis, long firstTokenMillis, long totalMillis) {
    MetricsOfService metrics = metricsOf(service);
    metrics.answered.mark();
    metrics.loadStall.update(loadStallMillis);
    metrics.firstToken.update(firstTokenMillis);
    metrics.total.update(totalMillis);
  }

  /**
   * Records a refusal, or a failure after the request was admitted.
   *
   * @param service the service
   * @param type the type of the failure
   */
  public void recordRefusal(ServiceName service, FailureType type) {
    counterOf(service, type).inc();
  }

  /**
   * Records one sample of an endpoint's batch. Samples are taken at equal intervals and only while
   * requests run or wait there; the unused batch of an idle endpoint does not count as
   * inefficiency.
   *
   * @param service the service
   * @param running number of requests in the batch
   * @param limit maximum number of requests that the endpoint runs at once
   */
  public void recordBatchSample(ServiceName service, int running, int limit) {
    MetricsOfService metrics = metricsOf(service);
    metrics.batchRunning.inc(running);
    metrics.batchSlots.inc(limit);
  }

  /**
   * Returns the number of requests that were refused or failed with one type of failure.
   *
   * @param service the service
   * @param type the type of the failure
   * @return the number since the process started
   */
  public long refusedCount(ServiceName service, FailureType type) {
    return counterOf(service, type).getCount();
  }

  /**
   * Returns the number of requests that were refused or failed, by type.
   *
   * @param service the service
   * @return the numbers since the process started; only types that occurred
   */
  public Map<FailureType, Long> refusals(ServiceName service) {
    Map<FailureType, Long> counts = new EnumMap<>(FailureType.class);
    metricsOf(service).refusals.forEach((type, counter) -> counts.put(type, counter.getCount()));
    return counts;
  }

  /**
   * Returns the number of complete responses.
   *
   * @param service the service
   * @return the number since the process started
   */
  public long responseCount(ServiceName service) {
    return metricsOf(service).answered.getCount();
  }

  /**
   * Returns the batch efficiency since the process started.
   *
   * @param service the service
   * @return from 0 to 1; 0 when no sample was taken
   */
  public double batchEfficiency(ServiceName service) {
    return metricsOf(service).efficiency();
  }

  /**
   * Returns the service that a metric belongs to.
   *
   * @param metricName a name in the registry
   * @return its service, or empty for a metric of the whole process
   */
  public Optional<ServiceName> serviceOf(String metricName) {
    return Optional.ofNullable(serviceByMetricName.get(metricName));
  }

  private Counter counterOf(ServiceName service, FailureType type) {
    return metricsOf(service)
        .refusals
        .computeIfAbsent(
            type,
            t ->
                registry.counter(
                    registerName(service, ServiceMetric.REFUSED)
                        + registerRefusalSuffix(service, t)));
  }

  private String registerRefusalSuffix(ServiceName service, FailureType type) {
    String suffix = "." + type.label();
    serviceByMetricName.put(registerName(service, ServiceMetric.REFUSED) + suffix, service);
    return suffix;
  }

  private MetricsOfService metricsOf(ServiceName service) {
    MetricsOfService existing = services.get(service);
    return existing != null ? existing : services.computeIfAbsent(service, MetricsOfService::new);
  }

  private String registerName(ServiceName service, ServiceMetric metric) {
    String name = "service." + service + "." + metric.label();
    serviceByMetricName.put(name, service);
    return name;
  }

  private final class MetricsOfService {

    final Meter answered;
    final Histogram loadStall;
    final Histogram firstToken;
    final Histogram total;
    final Counter batchRunning;
    final Counter batchSlots;
    final Map<FailureType, Counter> refusals = new ConcurrentHashMap<>();

    MetricsOfService(ServiceName service) {
      answered = registry.meter(registerName(service, ServiceMetric.ANSWERED));
      loadStall = registry.histogram(registerName(service, ServiceMetric.LOAD_STALL));
      firstToken = registry.histogram(registerName(service, ServiceMetric.FIRST_TOKEN));
      total = registry.histogram(registerName(service, ServiceMetric.TOTAL));
      batchRunning = registry.counter(registerName(service, ServiceMetric.BATCH_RUNNING));
      batchSlots = registry.counter(registerName(service, ServiceMetric.BATCH_PLACES));
      Gauge<Double> efficiency = this::efficiency;
      registry.gauge(registerName(service, ServiceMetric.BATCH_EFFICIENCY), () -> efficiency);
    }

    double efficiency() {
      long possible = batchSlots.getCount();
      return possible == 0 ? 0 : (double) batchRunning.getCount() / possible;
    }
  }
}
