package org.hornbeamusher.process;

import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;

/**
 * Ends the process when one of its threads ends with an error.
 *
 * <p>A process without its I/O thread keeps its connections open and answers nothing. Once it has
 * ended, the platform starts it again. A Java heap that is full ends the process by an option of
 * the virtual machine, because libraries catch that error.
 */
public final class FatalErrors {

  static final int EXIT_STATUS = 71;

  /** Lines are written by a thread of their own, for which a stalled reader must not be awaited. */
  private static final long LOG_MILLIS = 200;

  private FatalErrors() {}

  /** Installs the handler for all threads that have none of their own. */
  public static void endProcess() {
    Thread.setDefaultUncaughtExceptionHandler(FatalErrors::endProcess);
  }

  private static void endProcess(Thread thread, Throwable error) {
    try {
      EventLog.log(EventType.PROCESS_FAILED, "thread", thread.getName(), "error", error.toString());
      Thread.sleep(LOG_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }
}
