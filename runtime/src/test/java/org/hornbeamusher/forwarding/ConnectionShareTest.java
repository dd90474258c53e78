package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests how entries divide the connections that an endpoint accepts. */
class ConnectionShareTest {

  /** Guards against entries that together open more connections than an endpoint accepts. */
  @Property(seed = "36")
  void sharesOfAllEntriesStayWithinTheLimit(
      @ForAll @IntRange(min = 1, max = 400) int entries,
      @ForAll @IntRange(min = 0, max = 2_000) int spare) {
    int accepted = entries + 2 + spare;
    int share = ConnectionShare.of(accepted, entries);
    assertTrue(share * entries <= accepted - 2);
    assertTrue((share + 1) * entries > accepted - 2, "left unused: " + share);
  }

  @Test
  void shareIsAtLeastOneAndUnlimitedWithoutLimit() {
    assertEquals(1, ConnectionShare.of(3, 400));
    assertEquals(Integer.MAX_VALUE, ConnectionShare.of(0, 4));
  }
}
