package org.hornbeamusher.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.ServiceName;
import org.junit.jupiter.api.Test;

class ServiceMetricsTest {

  private static final ServiceName VALUER = new ServiceName("valuer-llm");
  private static final ServiceName DISPATCH = new ServiceName("lm.dispatch");

  private final ServiceMetrics metrics = new ServiceMetrics(new MetricRegistry());
  private final MetricsReport report = new MetricsReport(metrics);

  @Test
  void responsesRefusalsAndBatchesAreCountedByService() throws Exception {
    metrics.recordResponse(VALUER, 500, 700, 1_500);
    metrics.recordResponse(VALUER, 0, 60, 800);
    metrics.recordRefusal(VALUER, FailureType.QUEUE_FULL);
    metrics.recordBatchSample(VALUER, 4, 8);
    metrics.recordBatchSample(VALUER, 8, 8);
    assertEquals(0.75, metrics.batchEfficiency(VALUER));
    assertEquals(1, metrics.refusedCount(VALUER, FailureType.QUEUE_FULL));
    JsonNode json = new ObjectMapper().readTree(report.json(service -> true));
    assertEquals(
        500, json.at("/histograms/service.valuer-llm.load-stall/max").asInt(), json.toString());
    assertEquals(0.75, json.at("/gauges/service.valuer-llm.batch-efficiency/value").asDouble());
    assertEquals(2, json.at("/meters/service.valuer-llm.answered/count").asInt());
    assertEquals(1, json.at("/counters/service.valuer-llm.refused.queue-full/count").asInt());
  }

  @Test
  void batchEfficiencyIsZeroWithoutSamples() {
    assertEquals(0, metrics.batchEfficiency(VALUER));
  }

  /**
   * An operator of one partner reads the metrics of a shared process. The other partner's services
   * must not be visible, not even by name.
   */
  @Test
  void reportShowsVisibleServicesOnly() {
    metrics.recordResponse(VALUER, 0, 1, 2);
    metrics.recordRefusal(DISPATCH, FailureType.RATE_LIMITED);
    metrics.recordResponse(DISPATCH, 0, 1, 2);
    new ProcessMetrics(metrics.registry()).meter(ProcessMetric.TABLE_WRITES).mark();
    String json = report.json(VALUER::equals);
    String text = report.prometheus(VALUER::equals);
    assertTrue(json.contains("valuer-llm") && text.contains("valuer-llm"));
    assertTrue(json.contains("process.table-writes") && text.contains("process_table_writes"));
    assertFalse(json.contains("dispatch") || text.contains("dispatch"), json + text);
  }

  @Test
  void prometheusTextHasTheServiceAsLabel() {
    metrics.recordResponse(DISPATCH, 20, 1, 2);
    String text = report.prometheus(service -> true);
    assertTrue(
        text.contains("hornbeamusher_service_answered_total{service=\"lm.dispatch\",} 1.0"), text);
  }
}
