package org.hornbeamusher.security;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Finds out whom a bearer token stands for.
 *
 * <p>Every entry is compared, also after a match, each in constant time: neither the position of a
 * token in the settings nor a shared beginning of two hashes shows in the time of an answer. With
 * 1,000 entries that is 32 kB of comparison a request. Safe for use by several threads at once.
 */
public final class TokenDirectory {

  private static final String SCHEME = "Bearer ";

  private final List<Entry> entries;

  /**
   * Creates a directory.
   *
   * @param entries every token that is known
   */
  public TokenDirectory(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /**
   * One token.
   *
   * @param hash its hash
   * @param identity whom it stands for
   */
  public record Entry(TokenHash hash, Identity identity) {}

  /**
   * Finds the identity of a request.
   *
   * @param authorization the value of its {@code Authorization} header; null when there is none
   * @return the identity, or empty when the header is absent, malformed or not known
   */
  public Optional<Identity> find(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    TokenHash sent = TokenHash.ofToken(authorization.substring(SCHEME.length()).strip());
    Identity found = null;
    for (Entry entry : entries) {
      if (entry.hash().matches(sent)) {
        found = entry.identity();
      }
    }
    return Optional.ofNullable(found);
  }

  /**
   * Requires a caller.
   *
   * @param authorization as in {@link #find}
   * @return the caller
   * @throws HornbeamusherException {@code UNAUTHENTICATED} for an unknown token, {@code FORBIDDEN}
   *     for a token of another role
   */
  public Identity.Caller caller(String authorization) {
    return switch (require(authorization)) {
      case Identity.Caller caller -> caller;
      case Identity.Operator operator -> throw forbidden("requests");
      case Identity.Instance instance -> throw forbidden("requests");
    };
  }

  /**
   * Requires an operator.
   *
   * @param authorization as in {@link #find}
   * @return the operator
   * @throws HornbeamusherException as in {@link #caller}
   */
  public Identity.Operator operator(String authorization) {
    return switch (require(authorization)) {
      case Identity.Operator operator -> operator;
      case Identity.Caller caller -> throw forbidden("the operators' interface");
      case Identity.Instance instance -> throw forbidden("the operators' interface");
    };
  }

  private Identity require(String authorization) {
    return find(authorization)
        .orElseThrow(() -> HornbeamusherException.notRun(FailureType.UNAUTHENTICATED));
  }

  private static HornbeamusherException forbidden(String what) {
    return HornbeamusherException.notRun(FailureType.FORBIDDEN, what);
  }
}
