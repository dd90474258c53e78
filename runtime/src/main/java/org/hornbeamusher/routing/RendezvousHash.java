package org.hornbeamusher.routing;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar, 1998): each key orders all endpoints by a
 * hash of key and endpoint together. Entries that know the same endpoints compute the same order
 * without talking, and an endpoint that comes or goes moves only the keys it is first for.
 *
 * <p>Text is hashed by 64-bit FNV-1a and then spread by the finalizer of MurmurHash3 (Appleby,
 * public domain), because FNV alone leaves the high bits of short, similar names alike.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;
  private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
  private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;
  private static final int SHIFT = 33;

  private RendezvousHash() {}

  /**
   * Hashes a name; the same on every instance and in every run.
   *
   * @param text the name
   * @return its hash
   */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of an endpoint for a key; compared as unsigned numbers, highest first.
   *
   * @param keyHash the key's hash
   * @param endpointHash the endpoint's hash
   * @return its weight
   */
  public static long weight(long keyHash, long endpointHash) {
    return mix(keyHash ^ Long.rotateLeft(endpointHash, 1));
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> SHIFT)) * MIX_1;
    mixed = (mixed ^ (mixed >>> SHIFT)) * MIX_2;
    return mixed ^ (mixed >>> SHIFT);
  }
}
