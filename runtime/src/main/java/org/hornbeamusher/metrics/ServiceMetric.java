package org.hornbeamusher.metrics;

/** The catalogue of metrics that exist once a service. */
public enum ServiceMetric {
  /** Requests whose answer was whole. */
  ANSWERED("answered", "meter, requests", "Requests whose whole answer was sent."),
  /** Refusals and failures; one counter a type. */
  REFUSED("refused", "counter, requests", "Requests refused or failed, one counter a type."),
  /** The first measure of the brief. */
  LOAD_STALL("load-stall", "histogram, ms", "How long answered requests waited for a load."),
  /** From the arrival of a request to its first token. */
  FIRST_TOKEN("first-token", "histogram, ms", "From a request's arrival to its first token."),
  /** From the arrival of a request to the end of its answer. */
  TOTAL("total", "histogram, ms", "From a request's arrival to the end of its answer."),
  /** Numerator of the second measure. */
  BATCH_RUNNING("batch-running", "counter, places", "Places in use, summed over samples."),
  /** Denominator of the second measure. */
  BATCH_PLACES("batch-places", "counter, places", "Places there are, summed over samples."),
  /** The second measure of the brief. */
  BATCH_EFFICIENCY(
      "batch-efficiency",
      "gauge, 0 to 1",
      "Share of the batch that is filled while there is work: batch-running / batch-places.");

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
   * Returns its kind and unit.
   *
   * @return for the catalogue
   */
  public String kind() {
    return kind;
  }

  /**
   * Returns what it says.
   *
   * @return one sentence for the catalogue
   */
  public String meaning() {
    return meaning;
  }
}
