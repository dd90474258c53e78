package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.junit.jupiter.api.Test;

class CarriedRequestsTest {

  /** Guards against a second send of a request over one connection, whatever its id looks like. */
  @Property(seed = "84")
  void everyIdIsRecognised(
      @ForAll @UniqueElements @Size(max = CarriedRequests.MAX_REQUESTS) List<String> ids) {
    CarriedRequests carried = new CarriedRequests();
    for (String id : ids) {
      assertFalse(carried.contains(id));
      carried.add(id);
    }
    assertEquals(Set.copyOf(ids).size(), ids.stream().filter(carried::contains).count());
  }

  @Test
  void connectionIsNotReusedForMoreRequestsThanAreRemembered() {
    CarriedRequests carried = new CarriedRequests();
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      assertFalse(carried.isFull());
      carried.add("id-" + i);
    }
    assertTrue(carried.isFull());
    assertTrue(carried.contains("id-0"));
  }
}
