package org.hornbeamusher.events;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers until the process exits.
 *
 * <p>The JDK's log manager removes all handlers in a shutdown hook that runs concurrently with the
 * hook that stops a daemon: messages logged during the drain would be lost, and an operator could
 * not distinguish a clean stop from an aborted one.
 */
public final class NonResettingLogManager extends LogManager {

  /** Creates the manager; called by the JDK. */
  public NonResettingLogManager() {}

  /** Does nothing, so that the handlers stay until the process exits. */
  @Override
  public void reset() {}
}
