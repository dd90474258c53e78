package org.hornbeamusher.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlopeTest {

  @Test
  void exactLineIsFitted() {
    Slope slope = Slope.fit("x", "bytes", new double[] {1, 2, 4}, new double[] {13, 16, 22});
    assertEquals(3, slope.value(), 1e-9);
    assertEquals(10, slope.base(), 1e-9);
    assertEquals(3, slope.low(), 1e-9);
    assertEquals(3, slope.high(), 1e-9);
  }

  @Test
  void spreadIsTheRangeOfPairwiseSlopes() {
    Slope slope = Slope.fit("x", "bytes", new double[] {0, 1, 2}, new double[] {0, 1, 4});
    assertEquals(2, slope.value(), 1e-9);
    assertEquals(1, slope.low(), 1e-9);
    assertEquals(3, slope.high(), 1e-9);
  }

  @Test
  void medianIgnoresOneOutlier() {
    Slope slope = Slope.median("x", "us", new double[] {5, 100, 4});
    assertEquals(5, slope.value());
    assertEquals(100, slope.high());
  }

  /** At the expected scale every process is reached, with few connections per process. */
  @Test
  void connectionsAtExpectedScaleAreFewAndReachEveryProcess() {
    Topology topology = Topology.plan();
    assertEquals(3, topology.hops());
    assertTrue(topology.mostAgentsOfEntry() <= 122, topology.toString());
    assertTrue(topology.mostEntriesOfAgent() <= 46, topology.toString());
  }

  /** The numbers of table calls stated in docs/CAPACITY.md are those counted here. */
  @Test
  void tableCallsMatchTheCapacityPage() {
    TableCounts counts = TableCounts.measure();
    assertEquals(new TableCounts.Calls(1, 0), counts.poll());
    assertEquals(new TableCounts.Calls(2, 0), counts.change());
    assertEquals(new TableCounts.Calls(2, 1), counts.submit());
    assertEquals(new TableCounts.Calls(0, 2), counts.claim());
  }
}
