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
 * Computes a hash of the work that a request makes an endpoint do, independent of its caller and
 * its time.
 *
 * <p>The idempotency key and the request id are not included, because a caller that retries a
 * crashing request creates new ones. The hash is the first 8 bytes of a SHA-256 digest: with 10,000
 * remembered fingerprints the probability that some other request matches one is 10,000 / 2^64, and
 * searching for a match in order to have another caller's request refused is too expensive.
 */
public final class RequestFingerprint {

  private RequestFingerprint() {}

  /**
   * Computes the fingerprint of a request.
   *
   * @param service the service's name
   * @param model the adapter and version, or the path of a call to a plain service
   * @param prompt the prompt or body
   * @param parameters other parameters that influence the execution, for example {@code max_tokens}
   * @return the 64-bit fingerprint
   */
  public static long of(
      String service, String model, byte[] prompt, Map<String, String> parameters) {
    MessageDigest digest = sha256();
    update(digest, service.getBytes(StandardCharsets.UTF_8));
    update(digest, model.getBytes(StandardCharsets.UTF_8));
    update(digest, prompt);
    SortedMap<String, String> sorted = new TreeMap<>(parameters);
    sorted.forEach(
        (name, value) -> {
          update(digest, name.getBytes(StandardCharsets.UTF_8));
          update(digest, value.getBytes(StandardCharsets.UTF_8));
        });
    return java.nio.ByteBuffer.wrap(digest.digest()).getLong();
  }

  /** Adds a field, preceded by its length so that different field lists give different input. */
  private static void update(MessageDigest digest, byte[] field) {
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
