package org.hornbeamusher.documents;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.toml.Problems;

/** How a submission ended. */
public sealed interface SubmitResult {

  /**
   * Returns what the operator is told when the document was not accepted.
   *
   * @return empty for {@link Accepted}
   */
  default Optional<HornbeamusherException> failure() {
    return switch (this) {
      case Accepted accepted -> Optional.empty();
      case Invalid invalid ->
          Optional.of(
              HornbeamusherException.notRun(FailureType.DOCUMENT_INVALID, invalid.problems()));
      case Conflict conflict ->
          Optional.of(
              HornbeamusherException.notRun(
                  FailureType.DOCUMENT_CONFLICT,
                  conflict.service(),
                  conflict.currentVersion(),
                  conflict.baseVersion()));
      case Forbidden forbidden ->
          Optional.of(
              HornbeamusherException.notRun(FailureType.DOCUMENT_FORBIDDEN, forbidden.service()));
      case RateLimited limited ->
          Optional.of(
              HornbeamusherException.notRun(FailureType.DOCUMENT_RATE_LIMITED, limited.partner())
                  .retryAfter(limited.retryAfterMillis()));
    };
  }

  /**
   * The document is the truth from now on.
   *
   * @param service the service
   * @param version the version it was given
   */
  record Accepted(ServiceName service, long version) implements SubmitResult {}

  /**
   * The text is wrong; nothing changed.
   *
   * @param problems everything that is wrong, by line
   */
  record Invalid(Problems problems) implements SubmitResult {}

  /**
   * Somebody else's change came first; nothing changed.
   *
   * @param service the service
   * @param baseVersion what the submission was based on
   * @param currentVersion what is in force; 0 when the service has no document
   */
  record Conflict(ServiceName service, long baseVersion, long currentVersion)
      implements SubmitResult {}

  /**
   * The token's team does not own the document; the attempt is in the owner's trail.
   *
   * @param service the service
   */
  record Forbidden(ServiceName service) implements SubmitResult {}

  /**
   * The partner made too many changes; nothing changed.
   *
   * @param partner the partner
   * @param retryAfterMillis when one more is allowed, from now
   */
  record RateLimited(PartnerId partner, long retryAfterMillis) implements SubmitResult {}
}
