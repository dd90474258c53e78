package org.hornbeamusher.routing;

/**
 * Where prompts with a prefix were last sent. A fixed table; a newer prefix overwrites an older one
 * that falls on the same place, which costs one cache miss and keeps memory constant.
 */
final class PrefixMemory {

  private static final int PLACES = 1 << 14;

  private final long[] prefixes = new long[PLACES];
  private final EndpointState[] endpoints = new EndpointState[PLACES];

  void sent(long prefixHash, EndpointState endpoint) {
    int place = place(prefixHash);
    prefixes[place] = prefixHash;
    endpoints[place] = endpoint;
  }

  boolean cached(long prefixHash, EndpointState endpoint) {
    int place = place(prefixHash);
    return endpoints[place] == endpoint && prefixes[place] == prefixHash;
  }

  private static int place(long prefixHash) {
    return (int) (prefixHash ^ (prefixHash >>> Integer.SIZE)) & (PLACES - 1);
  }
}
