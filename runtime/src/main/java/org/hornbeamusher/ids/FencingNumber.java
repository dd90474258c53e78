package org.hornbeamusher.ids;

/**
 * Orders the successive agents of one endpoint: an order with a lower number is stale.
 *
 * @param value rises with every lease of the endpoint's row
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
