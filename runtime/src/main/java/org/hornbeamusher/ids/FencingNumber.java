package org.hornbeamusher.ids;

/**
 * Number that orders the successive agents of one endpoint: an order with a lower number than the
 * latest is stale.
 *
 * @param value increases with every number that is allocated from the endpoint's row
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
