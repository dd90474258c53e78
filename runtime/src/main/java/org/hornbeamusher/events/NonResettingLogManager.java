package org.hornbeamusher.events;

import java.util.logging.LogManager;

/**
 * Keeps the log until the process has ended.
 *
 * <p>The JDK's own log manager removes every handler in a shutdown hook, which runs beside the hook
 * that stops a daemon: what a daemon logs while it drains would be lost, and an operator could not
 * tell a clean end from a cut one.
 */
public final class NonResettingLogManager extends LogManager {

  /** Creates the manager; called by the JDK. */
  public NonResettingLogManager() {}

  /** Does nothing; handlers stay until the process ends. */
  @Override
  public void reset() {}
}
