package org.hornbeamusher.forecast;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * Corrects estimates of first events by the errors of recent estimates.
 *
 * <p>The cost model of placement knows neither what other entries have just sent nor how an engine
 * divides its time between loads, prompts and running requests. The error that this leaves differs
 * between endpoints, and between hours of high and low load. It is therefore measured.
 *
 * <p>A request's time consists of its service, which is the load of its adapter and its own prompt,
 * and of the wait for capacity. The wait is what is uncertain: for each endpoint the average ratio
 * of actual to estimated waits is kept. It is at least 1, because only the requests that are served
 * are measured, and those that would have waited longest are refused.
 *
 * <p>A few samples of one endpoint say little, and old ones say nothing of the present. The ratio
 * of an endpoint is therefore mixed with that of its service, by the number and age of its samples.
 * A service without samples has the ratio 1.
 *
 * <p>Only requests whose adapter had to be loaded are recorded: they are the ones that wait, and
 * those that start at once have errors of another kind.
 *
 * <p>Example: waits at an endpoint were estimated at 300 ms and took 450 ms. A request estimated at
 * 600 ms, 300 of them for its service, is expected after 750 ms.
 */
public final class ForecastErrors {

  /** More than any service has endpoints; the least recently used is dropped. */
  private static final int MAX_ENDPOINTS = 4_096;

  /** Samples after which an endpoint's own errors count as much as those of its service. */
  private static final double SAMPLES_FOR_HALF_WEIGHT = 8;

  /** Time in which the weight of an endpoint's samples halves. */
  private static final double SAMPLE_HALF_LIFE_MILLIS = 10_000;

  private final Map<EndpointIncarnation, ErrorAverage> endpoints =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, ErrorAverage> eldest) {
          return size() > MAX_ENDPOINTS;
        }
      };

  private final Map<String, ErrorAverage> services = new HashMap<>();

  /**
   * Corrects an estimate.
   *
   * @param service the service of the endpoint
   * @param endpoint the endpoint
   * @param estimate the estimate
   * @param now milliseconds
   * @return the forecast
   */
  public FirstEventForecast forecast(
      String service, EndpointIncarnation endpoint, Estimate estimate, long now) {
    ErrorAverage own = endpoints.get(endpoint);
    ErrorAverage all = services.getOrDefault(service, ErrorAverage.NONE);
    double weight = own == null ? 0 : own.weight(now);
    double ratio = all.ratio() + (own == null ? 0 : weight * (own.ratio() - all.ratio()));
    return new FirstEventForecast(
        estimate.totalMillis(),
        estimate.serviceMillis() + Math.round(estimate.waitMillis() * ratio),
        own == null ? 0 : own.samples,
        own == null ? -1 : now - own.updatedMillis);
  }

  /**
   * Records the outcome of an estimate.
   *
   * @param service the service of the endpoint
   * @param endpoint the endpoint
   * @param estimate the estimate when the request was placed
   * @param actualMillis time from then until its first event
   * @param now milliseconds
   */
  public void record(
      String service,
      EndpointIncarnation endpoint,
      Estimate estimate,
      long actualMillis,
      long now) {
    double actualWait = Math.max(0, actualMillis - estimate.serviceMillis());
    endpoints
        .computeIfAbsent(endpoint, unused -> new ErrorAverage())
        .record(estimate.waitMillis(), actualWait, now);
    services
        .computeIfAbsent(service, unused -> new ErrorAverage())
        .record(estimate.waitMillis(), actualWait, now);
  }

  /**
   * Records that a request left the queue of an endpoint without being served. Without these the
   * averages would contain only the requests that were served early enough. The wait is a lower
   * bound of the actual time, so it counts only if it exceeds the estimate.
   *
   * @param service the service of the endpoint
   * @param endpoint the endpoint
   * @param estimate the estimate when the request was placed
   * @param waitedMillis how long it has waited since
   * @param now milliseconds
   */
  public void recordUnserved(
      String service,
      EndpointIncarnation endpoint,
      Estimate estimate,
      long waitedMillis,
      long now) {
    if (waitedMillis > estimate.totalMillis()) {
      record(service, endpoint, estimate, waitedMillis, now);
    }
  }

  /**
   * An estimate of the time until a first event.
   *
   * @param totalMillis the whole time
   * @param serviceMillis the part that passes also if there is capacity at once
   */
  public record Estimate(long totalMillis, long serviceMillis) {

    /** Limits the service time to the whole. */
    public Estimate {
      serviceMillis = Math.min(serviceMillis, totalMillis);
    }

    long waitMillis() {
      return totalMillis - serviceMillis;
    }
  }

  /** Moving averages of estimated and actual waits. */
  private static final class ErrorAverage {

    static final ErrorAverage NONE = new ErrorAverage();

    /** Averages over about ten samples. */
    private static final double WEIGHT = 0.1;

    /** Initial value of both averages. */
    private static final double INITIAL_MILLIS = 100;

    private static final double MIN_RATIO = 1;
    private static final double MAX_RATIO = 4;

    private double estimated = INITIAL_MILLIS;
    private double actual = INITIAL_MILLIS;
    private int samples;
    private long updatedMillis;

    void record(double estimateMillis, double actualMillis, long now) {
      estimated += WEIGHT * (estimateMillis - estimated);
      actual += WEIGHT * (actualMillis - actual);
      samples++;
      updatedMillis = now;
    }

    double ratio() {
      return Math.max(MIN_RATIO, Math.min(MAX_RATIO, actual / Math.max(1, estimated)));
    }

    /** Returns the weight of these samples against those of the whole service. */
    double weight(long now) {
      double halfLives = Math.max(0, now - updatedMillis) / SAMPLE_HALF_LIFE_MILLIS;
      return samples / (samples + SAMPLES_FOR_HALF_WEIGHT) * Math.pow(0.5, halfLives);
    }
  }
}
