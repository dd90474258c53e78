package org.hornbeamusher.shares;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;

class MaxMinProperties {

  private static final double ROUNDING = 1e-6;

  @Property(seed = "1")
  void capacityIsNeitherExceededNorLeftIdle(
      @ForAll("demands") List<MaxMin.Demand> demands,
      @ForAll @DoubleRange(min = 0, max = 5_000) double capacity) {
    double level = MaxMin.level(demands, capacity);
    double allocated = demands.stream().mapToDouble(one -> allocated(one, level)).sum();
    double demanded = demands.stream().mapToDouble(MaxMin.Demand::amount).sum();
    assertEquals(Math.min(capacity, demanded), allocated, ROUNDING * Math.max(1, demanded));
  }

  /** Max-min fairness: whoever gets less than it demands gets as much per weight as any other. */
  @Property(seed = "1")
  void nobodyIsShortWhileAnotherGetsMorePerWeight(
      @ForAll("demands") List<MaxMin.Demand> demands,
      @ForAll @DoubleRange(min = 0, max = 5_000) double capacity) {
    double level = MaxMin.level(demands, capacity);
    for (MaxMin.Demand poor : demands) {
      if (allocated(poor, level) < poor.amount() - ROUNDING) {
        for (MaxMin.Demand rich : demands) {
          assertTrue(
              allocated(rich, level) / rich.weight()
                  <= allocated(poor, level) / poor.weight() + ROUNDING);
        }
      }
    }
  }

  @Property(seed = "1")
  void accountsThatExceedTheirSharesGetThemInProportionToTheirWeights(
      @ForAll @DoubleRange(min = 0.1, max = 10) double weight,
      @ForAll @DoubleRange(min = 1, max = 1_000) double capacity) {
    MaxMin.Demand weighted = new MaxMin.Demand(weight, capacity * 100);
    MaxMin.Demand single = new MaxMin.Demand(1, capacity * 100);
    double level = MaxMin.level(List.of(weighted, single), capacity);
    assertEquals(weight, allocated(weighted, level) / allocated(single, level), ROUNDING * weight);
  }

  private static double allocated(MaxMin.Demand demand, double level) {
    return Math.min(demand.amount(), demand.weight() * level);
  }

  @Provide
  Arbitrary<List<MaxMin.Demand>> demands() {
    Arbitrary<Double> weights = Arbitraries.doubles().between(0.1, 10);
    Arbitrary<Double> amounts = Arbitraries.doubles().between(0, 1_000);
    return Combinators.combine(weights, amounts).as(MaxMin.Demand::new).list().ofMaxSize(20);
  }
}
