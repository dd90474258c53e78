package org.hornbeamusher.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * The SHA-256 hash of a bearer token.
 *
 * <p>A plain hash without salt is enough because tokens are random and long (settings refuse
 * shorter ones), so that no list of likely tokens can be tried against the hashes.
 */
public final class TokenHash {

  /** The shortest token: 128 random bits in base64 without padding. */
  public static final int MINIMUM_TOKEN_LENGTH = 22;

  private static final String ALGORITHM = "SHA-256";
  private static final int BYTES = 32;

  private final byte[] digest;

  private TokenHash(byte[] digest) {
    this.digest = digest;
  }

  /**
   * Hashes a token.
   *
   * @param token the token as a caller sends it
   * @return its hash
   */
  public static TokenHash ofToken(String token) {
    try {
      byte[] bytes = token.getBytes(StandardCharsets.UTF_8);
      return new TokenHash(MessageDigest.getInstance(ALGORITHM).digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, ALGORITHM).causedBy(e);
    }
  }

  /**
   * Reads the written form.
   *
   * @param hex 64 hexadecimal digits
   * @return the hash
   * @throws InvalidTokenHashException when the text has another form; it is not part of the message
   */
  public static TokenHash parse(String hex) {
    try {
      byte[] bytes = HexFormat.of().parseHex(hex);
      if (bytes.length == BYTES) {
        return new TokenHash(bytes);
      }
    } catch (IllegalArgumentException e) {
      throw new InvalidTokenHashException();
    }
    throw new InvalidTokenHashException();
  }

  /**
   * Compares in a time that does not depend on where the hashes differ, so that an attacker who
   * measures answers learns nothing about a stored hash.
   *
   * @param other another hash
   * @return whether both are of the same token
   */
  public boolean matches(TokenHash other) {
    return MessageDigest.isEqual(digest, other.digest);
  }

  /**
   * Returns the written form.
   *
   * @return 64 hexadecimal digits
   */
  public String hex() {
    return HexFormat.of().formatHex(digest);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TokenHash hash && matches(hash);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(digest);
  }

  /** Shows nothing of the hash, which has no place in a log. */
  @Override
  public String toString() {
    return "TokenHash";
  }
}
