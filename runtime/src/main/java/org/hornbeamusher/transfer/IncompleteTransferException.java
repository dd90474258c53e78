package org.hornbeamusher.transfer;

import java.io.IOException;
import java.util.Optional;

/** An answer did not arrive whole. */
public final class IncompleteTransferException extends IOException {

  private static final long serialVersionUID = 1L;

  private final transient Transfer received;

  /**
   * Creates a failure.
   *
   * @param reason why no more was received
   * @param received what had arrived
   * @param cause what led to it; null for a timeout
   */
  public IncompleteTransferException(String reason, Transfer received, Throwable cause) {
    super(
        "%s after %d ms, %d bytes received".formatted(reason, received.millis(), received.bytes()),
        cause);
    this.received = received;
  }

  /**
   * Finds what had arrived of the answer behind a failure.
   *
   * @param thrown any failure
   * @return empty when no answer had been awaited
   */
  public static Optional<Transfer> received(Throwable thrown) {
    Throwable current = thrown;
    while (current != null) {
      if (current instanceof IncompleteTransferException incomplete) {
        return Optional.of(incomplete.received);
      }
      current = current.getCause();
    }
    return Optional.empty();
  }
}
