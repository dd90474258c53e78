package org.hornbeamusher.tool;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.events.LogSetup;
import org.hornbeamusher.process.FatalErrors;
import org.hornbeamusher.security.ReloadingTlsContext;
import org.hornbeamusher.settings.TlsSettings;
import org.hornbeamusher.wire.WireSockets;

/** Common code of the commands that run a daemon. */
final class DaemonRun {

  static final CommandOption SETTINGS_OPTION =
      CommandOption.required("settings", "FILE", "settings file; see docs/SETTINGS.md");
  static final CommandOption EVENTS_OPTION =
      CommandOption.optional(
          "events", "LEVEL", "lowest level of events that are logged: fine, info or warning");

  private static final long TLS_RELOAD_MILLIS = 10_000;

  private DaemonRun() {}

  /** A task that may block. */
  interface BlockingTask {

    /** Runs the task and returns when it is done. */
    void run() throws InterruptedException;
  }

  /** Sets up logging with the level given on the command line. */
  static void setUpLogging(CommandLine line) {
    String level = line.getOptionValue("events", "info").toUpperCase(Locale.ROOT);
    LogSetup.toStandardError(Level.parse(level));
    FatalErrors.endProcess();
  }

  /**
   * Creates the factory of the sockets between processes. TLS keys are reloaded while the process
   * runs.
   */
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
   * Waits until a started daemon is drained, then stops it. SIGTERM and SIGINT run the shutdown
   * hook, which stops the daemon. The JVM waits for the hook, so that requests in flight are
   * completed; the exit status is that of the signal (143 or 130).
   */
  static int runUntilStopped(BlockingTask awaitDrain, BlockingTask stop)
      throws InterruptedException {
    Thread hook = Thread.ofPlatform().name("stop").unstarted(() -> runQuietly(stop));
    Runtime.getRuntime().addShutdownHook(hook);
    awaitDrain.run();
    if (removeHook(hook)) {
      stop.run();
    } else {
      hook.join();
    }
    return ExitStatus.OK;
  }

  /**
   * Removes the shutdown hook, so that the daemon is stopped only once. The hook cannot be removed
   * when it runs already because of a signal: stopping the daemon also drains it, which wakes this
   * thread while the hook still runs.
   */
  private static boolean removeHook(Thread hook) {
    try {
      return Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException shuttingDown) {
      return false;
    }
  }

  private static void runQuietly(BlockingTask stop) {
    try {
      stop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
