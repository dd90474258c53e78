package org.hornbeamusher.toml;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Every fault of one text; the argument of the failure that reports them.
 *
 * @param all the faults in order of their lines
 */
public record Problems(List<Problem> all) {

  /** Copies the list. */
  public Problems {
    all = List.copyOf(all);
  }

  /**
   * Finds the faults that a failure carries.
   *
   * @param failure a failure thrown by {@link TomlChecker#throwIfProblems}, or any other
   * @return its faults, or none when it carries none
   */
  public static Problems of(org.hornbeamusher.failure.HornbeamusherException failure) {
    return failure.arguments().stream()
        .filter(Problems.class::isInstance)
        .map(Problems.class::cast)
        .findFirst()
        .orElse(new Problems(List.of()));
  }

  @Override
  public String toString() {
    return all.stream().map(Problem::toString).collect(Collectors.joining("; "));
  }
}
