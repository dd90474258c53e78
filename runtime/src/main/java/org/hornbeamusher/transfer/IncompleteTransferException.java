package org.hornbeamusher.transfer;

import java.io.IOException;
import java.util.Optional;

/** Thrown when a response was not received completely. */
public final class IncompleteTransferException extends IOException {

  private static final long serialVersionUID = 1L;

  private final transient TransferStats received;

  /**
   * Creates an exception.
   *
   * @param reason why no more was received
   * @param received duration and size of the received part
   * @param cause the underlying exception; null for a timeout
   */
  public IncompleteTransferException(String reason, TransferStats received, Throwable cause) {
    super(
        "%s after %d ms, %d bytes received".formatted(reason, received.millis(), received.bytes()),
        cause);
    this.received = received;
  }

  /**
   * Finds the received part of the incomplete response that caused an exception.
   *
   * @param thrown any exception
   * @return empty if it was not caused by an incomplete response
   */
  public static Optional<TransferStats> received(Throwable thrown) {
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
