package org.hornbeamusher.metrics;

/** The catalogue of metrics of a service. */
public enum ServiceMetric {
  /** Requests with a complete response. */
  ANSWERED("answered", "meter, requests", "Requests whose complete response was sent."),
  /** Refusals and failures, one counter per failure type. */
  REFUSED("refused", "counter, requests", "Requests refused or failed, one counter per type."),
  /** Time that requests waited for an adapter to be loaded. */
  LOAD_STALL("load-stall", "histogram, ms", "Time that answered requests waited for a load."),
  /** Time from the arrival of a request to its first token. */
  FIRST_TOKEN("first-token", "histogram, ms", "Time from a request's arrival to its first token."),
  /** Time from the arrival of a request to the end of its response. */
  TOTAL("total", "histogram, ms", "Time from a request's arrival to the end of its response."),
  /** Numerator of the batch efficiency. */
  BATCH_RUNNING("batch-running", "counter, places", "Batch slots in use, summed over samples."),
  /** Denominator of the batch efficiency. */
  BATCH_PLACES("batch-places", "counter, places", "Batch slots in total, summed over samples."),
  /** Share of the batch slots in use while the endpoint has work. */
  BATCH_EFFICIENCY(
      "batch-efficiency",
      "gauge, 0 to 1",
      "Share of batch slots in use while there is work: batch-running / batch-places.");

  private final String label;
  private final String kind;
  private final String meaning;

  ServiceMetric(String label, String kind, String meaning) {
    this.label = label;
    this.kind = kind;
    this.meaning = meaning;
  }

  /**
   * Returns the metric's part of the full name.
   *
   * @return for example {@code load-stall}
   */
  public String label() {
    return label;
  }

  /**
   * Returns the kind and unit of the metric.
   *
   * @return the text for the catalogue
   */
  public String kind() {
    return kind;
  }

  /**
   * Returns the meaning of the metric.
   *
   * @return one sentence for the catalogue
   */
  public String meaning() {
    return meaning;
  }
}
