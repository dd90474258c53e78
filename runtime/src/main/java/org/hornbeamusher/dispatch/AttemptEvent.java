package org.hornbeamusher.dispatch;

import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.wire.Message;

/** An event of an attempt; events are queued in the order in which they occur. */
public sealed interface AttemptEvent {

  /**
   * A message of the agent for the attempt was received.
   *
   * @param message a started, head, chunk, closing or failed message
   */
  record MessageReceived(Message message) implements AttemptEvent {}

  /**
   * The connection to the agent was lost.
   *
   * @param reason the cause
   */
  record ConnectionLost(HornbeamusherException reason) implements AttemptEvent {}
}
