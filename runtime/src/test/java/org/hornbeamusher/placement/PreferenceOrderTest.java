package org.hornbeamusher.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routing.RendezvousHash;

class PreferenceOrderTest {

  /** Entries of different builds must agree on the order, or each loads an adapter elsewhere. */
  @Property(seed = "11")
  void positionIsTheNumberOfHeavierEndpoints(
      @ForAll @Size(min = 1, max = 40) Set<Long> endpoints,
      @ForAll @IntRange(min = 1, max = 50) int adapter) {
    AdapterKey key = new AdapterKey("m", "a" + adapter);
    long[] hashes = endpoints.stream().mapToLong(Long::longValue).toArray();
    PreferenceOrder preference = new PreferenceOrder(key, hashes);
    for (long hash : hashes) {
      assertEquals(heavier(key, hash, hashes), preference.position(hash));
    }
  }

  private static int heavier(AdapterKey adapter, long hash, long[] hashes) {
    long key = RendezvousHash.hash(adapter.toString());
    int count = 0;
    for (long other : hashes) {
      boolean heavier =
          Long.compareUnsigned(RendezvousHash.weight(key, other), RendezvousHash.weight(key, hash))
              > 0;
      count += heavier ? 1 : 0;
    }
    return count;
  }
}
