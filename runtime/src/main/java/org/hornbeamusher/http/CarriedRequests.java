package org.hornbeamusher.http;

import java.util.Arrays;

/**
 * The requests that one connection has carried, by the ids that its server repeats.
 *
 * <p>A server may send a response again, later. The copy names its request, so it cannot be told
 * from the response to a second send of the same request on the same connection. Therefore {@link
 * ConnectionPool} never sends a request over a connection that has carried it.
 *
 * <p>Only hashes are kept: callers choose the ids and their lengths. If two hashes are equal by
 * chance, a request gets another connection than it could have.
 */
final class CarriedRequests {

  /** The maximum number of requests; a connection that has carried them is not reused. */
  static final int MAX_REQUESTS = 256;

  private static final int INITIAL_CAPACITY = 8;

  /** Parameters of the FNV-1a hash of 64 bits. */
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  private long[] hashes = new long[INITIAL_CAPACITY];
  private int count;

  /** Records a request that is sent next. */
  void add(String id) {
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count++] = hash(id);
  }

  boolean contains(String id) {
    long hash = hash(id);
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether no further request may be sent over the connection. */
  boolean isFull() {
    return count >= MAX_REQUESTS;
  }

  private static long hash(String id) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
