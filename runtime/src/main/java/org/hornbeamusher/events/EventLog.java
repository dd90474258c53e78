package org.hornbeamusher.events;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;

/** Writes numbered events with structured fields through Flogger. */
public final class EventLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private EventLog() {}

  /**
   * Logs one event.
   *
   * @param type the type of the event
   * @param fields alternating names and values; a value is never a secret
   */
  public static void log(EventType type, Object... fields) {
    if (LOGGER.at(type.level()).isEnabled()) {
      // The log site is not needed, as each event has its own type; finding it would walk the
      // stack.
      LOGGER
          .at(type.level())
          .withInjectedLogSite(LogSite.INVALID)
          .log("%s", EventLine.format(type, fields));
    }
  }
}
