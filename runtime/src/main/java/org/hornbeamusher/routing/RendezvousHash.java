package org.hornbeamusher.routing;

/**
 * Rendezvous or highest-random-weight hashing (Thaler and Ravishankar, 1998): each key orders all
 * endpoints by a hash of the key and the endpoint. Entries with the same endpoints compute the same
 * order without coordination, and when an endpoint joins or leaves, only the keys for which it is
 * first change their first endpoint.
 *
 * <p>Text is hashed by 64-bit FNV-1a and then mixed by the finalizer of MurmurHash3 (Appleby,
 * public domain), because FNV alone yields nearly equal high bits for short, similar names.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;
  private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
  private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;
  private static final int MIX_SHIFT = 33;

  private RendezvousHash() {}

  /**
   * Hashes a name. The hash is the same in every process and every run.
   *
   * @param text the name
   * @return the hash
   */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of an endpoint for a key. Weights are compared as unsigned numbers; the
   * highest comes first in the key's order.
   *
   * @param keyHash the key's hash
   * @param endpointHash the endpoint's hash
   * @return the weight
   */
  public static long weight(long keyHash, long endpointHash) {
    return mix(keyHash ^ Long.rotateLeft(endpointHash, 1));
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_1;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_2;
    return mixed ^ (mixed >>> MIX_SHIFT);
  }
}
