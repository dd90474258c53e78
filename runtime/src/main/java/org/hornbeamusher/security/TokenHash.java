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
 * <p>A hash without salt is sufficient because tokens are random and long (settings reject shorter
 * ones), so that a dictionary attack on the hashes is not feasible.
 */
public final class TokenHash {

  /** Length of the shortest token, in characters: 128 random bits in base64 without padding. */
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
   * Parses the text form.
   *
   * @param hex 64 hexadecimal digits
   * @return the hash
   * @throws InvalidTokenHashException when the text has another form; the message does not contain
   *     the text
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
   * Compares in constant time, wherever the hashes differ, so that an attacker who measures
   * response times learns nothing about a stored hash.
   *
   * @param other another hash
   * @return whether both are of the same token
   */
  public boolean matches(TokenHash other) {
    return MessageDigest.isEqual(digest, other.digest);
  }

  /**
   * Returns the text form.
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

  /** Does not reveal the hash, which must not appear in logs. */
  @Override
  public String toString() {
    return "TokenHash";
  }
}
