package org.hornbeamusher.documents;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.toml.Problems;

/** Result of a submission. */
public sealed interface SubmitResult {

  /**
   * Returns the failure that is reported to the operator when the document was not accepted.
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
   * The document was accepted and is the current one.
   *
   * @param service the service
   * @param version the version that it got
   */
  record Accepted(ServiceName service, long version) implements SubmitResult {}

  /**
   * The text is invalid; nothing changed.
   *
   * @param problems all problems, ordered by line
   */
  record Invalid(Problems problems) implements SubmitResult {}

  /**
   * The base version is not the current version; nothing changed.
   *
   * @param service the service
   * @param baseVersion the version that the submission was based on
   * @param currentVersion the current version; 0 when the service has no document
   */
  record Conflict(ServiceName service, long baseVersion, long currentVersion)
      implements SubmitResult {}

  /**
   * The token's team does not own the document; the attempt is in the owner's audit trail.
   *
   * @param service the service
   */
  record Forbidden(ServiceName service) implements SubmitResult {}

  /**
   * The partner's rate limit of changes is exceeded; nothing changed.
   *
   * @param partner the partner
   * @param retryAfterMillis time until the next change is allowed
   */
  record RateLimited(PartnerId partner, long retryAfterMillis) implements SubmitResult {}
}
