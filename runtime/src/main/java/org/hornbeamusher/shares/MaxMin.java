package org.hornbeamusher.shares;

import java.util.Comparator;
import java.util.List;

/**
 * Weighted max-min allocation of a capacity (progressive filling).
 *
 * <p>The fair level is raised until the capacity is used up. A party whose demand is below its
 * weight times the level gets all that it demands; every other party gets its weight times the
 * level. No party can then get more without taking from one that has, relative to its weight, no
 * more than it.
 *
 * <p>Example: a capacity of 10 and demands of 1, 4 and 20 with equal weights give a level of 5: the
 * three get 1, 4 and 5.
 */
public final class MaxMin {

  private MaxMin() {}

  /**
   * The demand of one party.
   *
   * @param weight its weight, above 0
   * @param amount what it demands
   */
  public record Demand(double weight, double amount) {

    double perWeight() {
      return amount / weight;
    }
  }

  /**
   * Returns the fair level.
   *
   * @param demands the demands of all parties
   * @param capacity what can be allocated
   * @return the amount for each unit of weight; infinite if the capacity covers all demands
   */
  public static double level(List<Demand> demands, double capacity) {
    List<Demand> smallestFirst =
        demands.stream().sorted(Comparator.comparingDouble(Demand::perWeight)).toList();
    double weights = demands.stream().mapToDouble(Demand::weight).sum();
    double left = Math.max(0, capacity);
    for (Demand demand : smallestFirst) {
      double level = left / weights;
      if (demand.perWeight() > level) {
        return level;
      }
      left = Math.max(0, left - demand.amount());
      weights -= demand.weight();
    }
    return Double.POSITIVE_INFINITY;
  }
}
