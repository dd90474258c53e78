package org.hornbeamusher.events;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the process's log: JSON lines on standard error or standard output. */
public final class LogSetup {

  /** Referenced so that the levels set here are not lost when a logger is garbage-collected. */
  private static final Logger ROOT_LOGGER = Logger.getLogger("");

  private static final Logger EVENT_LOGGER = Logger.getLogger(EventLog.class.getName());

  private LogSetup() {}

  /**
   * Replaces all handlers by one that writes JSON lines to standard output without blocking.
   *
   * @param events the lowest level of events that is written; libraries log warnings and above
   */
  public static void toStandardOutput(Level events) {
    install(new BoundedLogHandler(new FileOutputStream(FileDescriptor.out)), events);
  }

  /**
   * Replaces all handlers by one that writes JSON lines to standard error.
   *
   * @param events the lowest level of events that is written; libraries log warnings and above
   */
  public static void toStandardError(Level events) {
    install(new ConsoleHandler(), events);
  }

  private static void install(Handler handler, Level events) {
    for (Handler old : ROOT_LOGGER.getHandlers()) {
      ROOT_LOGGER.removeHandler(old);
    }
    handler.setFormatter(new JsonLinesFormatter());
    handler.setLevel(Level.ALL);
    ROOT_LOGGER.addHandler(handler);
    ROOT_LOGGER.setLevel(Level.WARNING);
    EVENT_LOGGER.setLevel(events);
  }
}
