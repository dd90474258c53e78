package org.hornbeamusher.dispatch;

import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.wire.Message;

/** What happens to an attempt, in order. */
public sealed interface AttemptEvent {

  /**
   * The agent said something of the attempt.
   *
   * @param message a started, head, chunk, closing or failed message
   */
  record Said(Message message) implements AttemptEvent {}

  /**
   * The connection to the agent ended.
   *
   * @param reason why
   */
  record ConnectionLost(HornbeamusherException reason) implements AttemptEvent {}
}
