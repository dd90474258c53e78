package org.hornbeamusher.metrics;

/** The catalogue of metrics of a process; every operator may read them. */
public enum ProcessMetric {
  /** Table reads. */
  TABLE_READS("table-reads", "meter, calls", "Reads and scans sent to the table service."),
  /** Table writes. */
  TABLE_WRITES("table-writes", "meter, calls", "Transactions sent to the table service."),
  /** Connections to other processes. */
  PEERS("peers", "gauge, connections", "Open connections to other processes."),
  /** Requests in progress. */
  IN_FLIGHT("in-flight", "gauge, requests", "Requests that were admitted and have not ended.");

  private final String label;
  private final String kind;
  private final String meaning;

  ProcessMetric(String label, String kind, String meaning) {
    this.label = label;
    this.kind = kind;
    this.meaning = meaning;
  }

  /**
   * Returns the full name.
   *
   * @return for example {@code process.table-reads}
   */
  public String fullName() {
    return "process." + label;
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
