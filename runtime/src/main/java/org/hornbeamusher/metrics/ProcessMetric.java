package org.hornbeamusher.metrics;

/** The catalogue of metrics that exist once a process; every operator may read them. */
public enum ProcessMetric {
  /** Table reads. */
  TABLE_READS("table-reads", "meter, calls", "Reads and scans sent to the table service."),
  /** Table writes. */
  TABLE_WRITES("table-writes", "meter, calls", "Transactions sent to the table service."),
  /** Connections to other processes. */
  PEERS("peers", "gauge, connections", "Connections to other processes that are open."),
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
   * @return for example {@code process.claims}
   */
  public String fullName() {
    return "process." + label;
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
