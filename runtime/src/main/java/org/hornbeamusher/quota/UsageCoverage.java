package org.hornbeamusher.quota;

/** Of how many entries the usage is known at an entry. */
public enum UsageCoverage {
  /** The usage of every entry is known. */
  COMPLETE("complete"),
  /** The usage of some other entries is known. */
  PARTIAL("partial"),
  /** The usage of others is known, but some of them may not know the usage of this entry. */
  HIDDEN("hidden"),
  /** The usage of no other entry is known. */
  ISOLATED("isolated");

  private final String label;

  UsageCoverage(String label) {
    this.label = label;
  }

  /**
   * Returns the name in logs.
   *
   * @return the label
   */
  public String label() {
    return label;
  }
}
