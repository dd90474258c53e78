package org.hornbeamusher.routing;

/**
 * Remembers the endpoint to which a prompt prefix was last sent, in a hash table of fixed size. A
 * prefix overwrites another one with the same index, which keeps memory constant at the cost of a
 * cache miss.
 */
final class PrefixCacheIndex {

  private static final int SIZE = 1 << 14;

  private final long[] prefixes = new long[SIZE];
  private final EndpointState[] endpoints = new EndpointState[SIZE];

  void record(long prefixHash, EndpointState endpoint) {
    int index = index(prefixHash);
    prefixes[index] = prefixHash;
    endpoints[index] = endpoint;
  }

  boolean isCached(long prefixHash, EndpointState endpoint) {
    int index = index(prefixHash);
    return endpoints[index] == endpoint && prefixes[index] == prefixHash;
  }

  private static int index(long prefixHash) {
    return (int) (prefixHash ^ (prefixHash >>> Integer.SIZE)) & (SIZE - 1);
  }
}
