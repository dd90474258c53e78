package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts faults and checks, and keeps the first violations of invariants. */
public final class HistoryReport {

  private static final int MAX_VIOLATIONS_KEPT = 20;

  private final Map<Fault, Long> faults = new EnumMap<>(Fault.class);
  private final Map<Invariant, Long> checked = new EnumMap<>(Invariant.class);
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Invariant, Long> violated = new EnumMap<>(Invariant.class);

  /**
   * A violation of an invariant.
   *
   * @param invariant the invariant
   * @param seed seed that reproduces the history
   * @param detail the observed values
   */
  public record Violation(Invariant invariant, long seed, String detail) {}

  void faultOccurred(Fault fault) {
    faults.merge(fault, 1L, Long::sum);
  }

  void check(Invariant invariant, long seed, boolean holds, String detail) {
    checked.merge(invariant, 1L, Long::sum);
    if (!holds) {
      violated.merge(invariant, 1L, Long::sum);
      if (violations.size() < MAX_VIOLATIONS_KEPT) {
        violations.add(new Violation(invariant, seed, detail));
      }
    }
  }

  /**
   * Merges the report of another history into this one.
   *
   * @param other the other report
   */
  public void add(HistoryReport other) {
    other.faults.forEach((fault, count) -> faults.merge(fault, count, Long::sum));
    other.checked.forEach((check, count) -> checked.merge(check, count, Long::sum));
    other.violated.forEach((check, count) -> violated.merge(check, count, Long::sum));
    other.violations.stream()
        .limit(MAX_VIOLATIONS_KEPT - violations.size())
        .forEach(violations::add);
  }

  /**
   * Returns how often each fault occurred.
   *
   * @return counts by fault
   */
  public Map<Fault, Long> faults() {
    return faults;
  }

  /**
   * Returns how often each invariant was checked.
   *
   * @return counts by invariant
   */
  public Map<Invariant, Long> checked() {
    return checked;
  }

  /**
   * Returns the first violations.
   *
   * @return at most 20 violations
   */
  public List<Violation> violations() {
    return violations;
  }

  /**
   * Returns the number of violations of all invariants.
   *
   * @return the number of violations
   */
  public long violationCount() {
    return violated.values().stream().mapToLong(Long::longValue).sum();
  }

  /**
   * Returns the number of violations of one invariant.
   *
   * @param invariant the invariant
   * @return the number of violations
   */
  public long violationsOf(Invariant invariant) {
    return violated.getOrDefault(invariant, 0L);
  }
}
