package org.hornbeamusher.events;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the process's log: lines of JSON on standard error, nothing else. */
public final class LogSetup {

  /** Held so that the levels set here are not lost when a logger is garbage-collected. */
  private static final Logger LIBRARIES = Logger.getLogger("");

  private static final Logger EVENTS = Logger.getLogger(EventLog.class.getName());

  private LogSetup() {}

  /**
   * Replaces every handler by one that writes lines of JSON to standard output without ever
   * blocking.
   *
   * @param events the lowest level of events that is written; libraries write warnings and above
   */
  public static void toStandardOutput(Level events) {
    install(new BoundedLogHandler(new FileOutputStream(FileDescriptor.out)), events);
  }

  /**
   * Replaces every handler by one that writes lines of JSON.
   *
   * @param events the lowest level of events that is written; libraries write warnings and above
   */
  public static void toStandardError(Level events) {
    install(new ConsoleHandler(), events);
  }

  private static void install(Handler handler, Level events) {
    for (Handler old : LIBRARIES.getHandlers()) {
      LIBRARIES.removeHandler(old);
    }
    handler.setFormatter(new JsonLinesFormatter());
    handler.setLevel(Level.ALL);
    LIBRARIES.addHandler(handler);
    LIBRARIES.setLevel(Level.WARNING);
    EVENTS.setLevel(events);
  }
}
