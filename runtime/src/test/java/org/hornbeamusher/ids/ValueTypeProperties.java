package org.hornbeamusher.ids;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.routes.AdapterKey;

/** Value types that compare themselves must be equal exactly when all their components are. */
class ValueTypeProperties {

  @Property(seed = "72")
  void equalityFollowsTheComponents(
      @ForAll @CharRange(from = 'a', to = 'b') @StringLength(min = 1, max = 2) String name,
      @ForAll @CharRange(from = 'a', to = 'b') @StringLength(min = 1, max = 2) String otherName,
      @ForAll @IntRange(max = 2) int number,
      @ForAll @IntRange(max = 2) int otherNumber) {
    assertSame(name.equals(otherName), new EndpointId(name), new EndpointId(otherName));
    assertSame(
        List.of(name, number).equals(List.of(otherName, otherNumber)),
        new EndpointIncarnation(new EndpointId(name), number),
        new EndpointIncarnation(new EndpointId(otherName), otherNumber));
    assertSame(
        List.of(name, otherName).equals(List.of(otherName, name)),
        new AdapterKey(name, otherName),
        new AdapterKey(otherName, name));
    assertSame(
        List.of(name, number).equals(List.of(otherName, otherNumber)),
        new AdapterVersion(new AdapterKey(name, ""), number),
        new AdapterVersion(new AdapterKey(otherName, ""), otherNumber));
    assertSame(
        number == otherNumber,
        new ReservationId(number, otherNumber),
        new ReservationId(otherNumber, number));
  }

  private static void assertSame(boolean expected, Object one, Object other) {
    assertEquals(expected, one.equals(other));
    assertEquals(expected, other.equals(one));
    if (expected) {
      assertEquals(one.hashCode(), other.hashCode());
    }
  }
}
