package org.hornbeamusher.tool;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.agent.AgentDaemon;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.settings.AgentSettings;

/** Runs an agent until it is drained or stopped. */
final class AgentCommand implements Command {

  @Override
  public String name() {
    return "agent";
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
    return "run an agent, beside one endpoint";
  }

  @Override
  public int run(CommandLine line, Console console) throws InterruptedException {
    AgentSettings settings = AgentSettings.read(Path.of(line.getOptionValue("settings")));
    DaemonRun.setUpLogging(line);
    AgentDaemon daemon =
        new AgentDaemon(settings, DaemonRun.sockets(settings.peerTls()), SystemClock.INSTANCE);
    daemon.start();
    return DaemonRun.runUntilStopped(daemon::awaitDrain, daemon::stop);
  }
}
