package org.hornbeamusher.quota;

/** Of how many entries the usage is known at an entry. */
public enum UsageCoverage {
  /** The usage of every entry is known. */
  COMPLETE("complete"),
  /** The usage of some other entries is known. */
  PARTIAL("partial"),
  /** As partial, but some of these entries know the usage of more. */
  SUBSET("subset"),
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
