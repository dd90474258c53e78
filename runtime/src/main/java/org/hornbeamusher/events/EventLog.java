package org.hornbeamusher.events;

import com.google.common.flogger.FluentLogger;

/** Writes numbered events with structured fields through Flogger. */
public final class EventLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private EventLog() {}

  /**
   * Logs one event.
   *
   * @param type the entry in the catalogue
   * @param fields alternating names and values; a value is never a secret
   */
  public static void log(EventType type, Object... fields) {
    if (LOGGER.at(type.level()).isEnabled()) {
      LOGGER.at(type.level()).log("%s", EventLine.format(type, fields));
    }
  }
}
