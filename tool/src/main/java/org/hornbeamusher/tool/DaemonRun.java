package org.hornbeamusher.tool;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.events.LogSetup;
import org.hornbeamusher.security.ReloadingTlsContext;
import org.hornbeamusher.settings.TlsSettings;
import org.hornbeamusher.wire.WireSockets;

/** What the commands that run a daemon have in common. */
final class DaemonRun {

  static final CommandOption SETTINGS =
      CommandOption.required("settings", "FILE", "settings file; see docs/SETTINGS.md");
  static final CommandOption EVENTS =
      CommandOption.optional(
          "events", "LEVEL", "lowest level of events that are logged: fine, info or warning");

  private static final long TLS_RELOAD_MILLIS = 10_000;

  private DaemonRun() {}

  /** Something that blocks until it is done. */
  interface Blocking {

    /** Runs to its end. */
    void run() throws InterruptedException;
  }

  /** Sets up logging as the command line says. */
  static void log(CommandLine line) {
    String level = line.getOptionValue("events", "info").toUpperCase(Locale.ROOT);
    LogSetup.toStandardError(Level.parse(level));
  }

  /** Makes the sockets between processes; keys are read again while the process runs. */
  static WireSockets sockets(Optional<TlsSettings> tls) {
    if (tls.isEmpty()) {
      return new WireSockets.Plain();
    }
    TlsSettings files = tls.get();
    ReloadingTlsContext context =
        ReloadingTlsContext.open(
            files.certificateFile(), files.privateKeyFile(), files.trustedCertificates());
    context.start(TLS_RELOAD_MILLIS);
    return new WireSockets.MutualTls(context::context);
  }

  /**
   * Waits for the end of a started daemon. SIGTERM and SIGINT run the shutdown hook, and the JVM
   * waits for it: nothing in flight is cut off, and the exit status is the signal's (143 or 130).
   */
  static int untilStopped(Blocking awaitLeaving, Blocking stop) throws InterruptedException {
    Thread hook = Thread.ofPlatform().name("stop").unstarted(() -> runQuietly(stop));
    Runtime.getRuntime().addShutdownHook(hook);
    awaitLeaving.run();
    if (withdrawn(hook)) {
      stop.run();
    } else {
      hook.join();
    }
    return ExitStatus.OK;
  }

  /**
   * Takes the hook back, so that the daemon is stopped once. It cannot be taken back when a signal
   * came first: stopping makes the daemon leave, which wakes this thread while the hook still runs.
   */
  private static boolean withdrawn(Thread hook) {
    try {
      return Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException shuttingDown) {
      return false;
    }
  }

  private static void runQuietly(Blocking stop) {
    try {
      stop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
