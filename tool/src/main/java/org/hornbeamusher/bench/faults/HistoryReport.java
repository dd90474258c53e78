package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts what was drawn and keeps what did not hold. */
public final class HistoryReport {

  private static final int VIOLATIONS_KEPT = 20;

  private final Map<Fault, Long> faults = new EnumMap<>(Fault.class);
  private final Map<Check, Long> checked = new EnumMap<>(Check.class);
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Check, Long> violated = new EnumMap<>(Check.class);

  /**
   * Something that did not hold.
   *
   * @param check what should have held
   * @param seed draws the history again
   * @param detail what was seen
   */
  public record Violation(Check check, long seed, String detail) {}

  void drawn(Fault fault) {
    faults.merge(fault, 1L, Long::sum);
  }

  void check(Check check, long seed, boolean holds, String detail) {
    checked.merge(check, 1L, Long::sum);
    if (!holds) {
      violated.merge(check, 1L, Long::sum);
      if (violations.size() < VIOLATIONS_KEPT) {
        violations.add(new Violation(check, seed, detail));
      }
    }
  }

  /**
   * Adds what another history saw.
   *
   * @param other its report
   */
  public void add(HistoryReport other) {
    other.faults.forEach((fault, count) -> faults.merge(fault, count, Long::sum));
    other.checked.forEach((check, count) -> checked.merge(check, count, Long::sum));
    other.violated.forEach((check, count) -> violated.merge(check, count, Long::sum));
    other.violations.stream().limit(VIOLATIONS_KEPT - violations.size()).forEach(violations::add);
  }

  /**
   * Returns how often each fault was drawn.
   *
   * @return counts by fault
   */
  public Map<Fault, Long> faults() {
    return faults;
  }

  /**
   * Returns how often each check was made.
   *
   * @return counts by check
   */
  public Map<Check, Long> checked() {
    return checked;
  }

  /**
   * Returns the first violations.
   *
   * @return at most twenty
   */
  public List<Violation> violations() {
    return violations;
  }

  /**
   * Returns how often a check did not hold.
   *
   * @return 0 when all is well
   */
  public long violationCount() {
    return violated.values().stream().mapToLong(Long::longValue).sum();
  }

  /**
   * Returns how often one check did not hold.
   *
   * @param check the check
   * @return 0 when it always held
   */
  public long violationsOf(Check check) {
    return violated.getOrDefault(check, 0L);
  }
}
