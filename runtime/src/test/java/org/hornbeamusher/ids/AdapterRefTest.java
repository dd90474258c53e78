package org.hornbeamusher.ids;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AdapterRefTest {

  @Property(seed = "20261202", tries = 200)
  void textFormRoundTrips(@ForAll @IntRange(min = 1) int version) {
    AdapterRef ref =
        new AdapterRef(new ServiceName("lm-dispatch"), new AdapterName("roster-1"), version);
    assertEquals(ref, AdapterRef.parse(ref.toString()));
  }

  @Test
  void malformedTextIsRejected() {
    for (String text : new String[] {"", "a", "a/b", "a@1", "a/b@0", "a/b@x", "A/b@1", "a/@1"}) {
      assertThrows(InvalidIdentifierException.class, () -> AdapterRef.parse(text), text);
    }
  }
}
