package org.hornbeamusher.tool;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.settings.EntrySettings;

/** Runs an entry until it is drained or stopped. */
final class EntryCommand implements Command {

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return List.of(DaemonRun.SETTINGS_OPTION, DaemonRun.EVENTS_OPTION);
  }

  @Override
  public String summary() {
    return "run an entry, which callers reach";
  }

  @Override
  public int run(CommandLine line, Console console) throws InterruptedException {
    EntrySettings settings = EntrySettings.read(Path.of(line.getOptionValue("settings")));
    DaemonRun.setUpLogging(line);
    EntryDaemon daemon =
        new EntryDaemon(settings, DaemonRun.sockets(settings.peerTls()), SystemClock.INSTANCE);
    daemon.start();
    return DaemonRun.runUntilStopped(daemon::awaitDrain, daemon::stop);
  }
}
