package org.hornbeamusher.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/**
 * Identifies what an endpoint is made to do by a request, whoever sends it and whenever.
 *
 * <p>The idempotency key and the request id are left out: a caller that sends a crashing request
 * again gives it new ones. The first 8 bytes of a SHA-256 digest are used; among the 10,000
 * fingerprints that are remembered the chance that a given other request matches one is 10,000 /
 * 2^64, and nobody can search for a match cheaply enough to have another's request refused.
 */
public final class RequestFingerprint {

  private RequestFingerprint() {}

  /**
   * Computes a fingerprint.
   *
   * @param service the service's name
   * @param model the adapter and version, or the path of a plain service's call
   * @param prompt the prompt or body
   * @param parameters what else changes the run, for example {@code max_tokens}
   * @return 64 bits
   */
  public static long of(
      String service, String model, byte[] prompt, Map<String, String> parameters) {
    MessageDigest digest = sha256();
    put(digest, service.getBytes(StandardCharsets.UTF_8));
    put(digest, model.getBytes(StandardCharsets.UTF_8));
    put(digest, prompt);
    SortedMap<String, String> sorted = new TreeMap<>(parameters);
    sorted.forEach(
        (name, value) -> {
          put(digest, name.getBytes(StandardCharsets.UTF_8));
          put(digest, value.getBytes(StandardCharsets.UTF_8));
        });
    return java.nio.ByteBuffer.wrap(digest.digest()).getLong();
  }

  /** The length goes first, so that no two different lists of fields give the same bytes. */
  private static void put(MessageDigest digest, byte[] field) {
    digest.update(java.nio.ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
    digest.update(field);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw HornbeamusherException.of(FailureType.INTERNAL, Outcome.NOT_RUN, e.getMessage())
          .causedBy(e);
    }
  }
}
