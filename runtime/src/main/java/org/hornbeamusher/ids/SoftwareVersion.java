package org.hornbeamusher.ids;

/**
 * The version of the software that an endpoint runs, not of the weights that it holds. Versions
 * have no order.
 *
 * @param value as the endpoint states it; empty if it states none
 */
public record SoftwareVersion(String value) {

  @Override
  public String toString() {
    return value;
  }
}
