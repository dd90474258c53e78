package org.hornbeamusher.tool;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.standin.Standin;
import org.hornbeamusher.standin.StandinSettings;

/** Runs stand-ins of the platform, weight stores, engines and plain services until stopped. */
final class StandinCommand implements Command {

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return List.of(DaemonRun.SETTINGS_OPTION);
  }

  @Override
  public String summary() {
    return "run stand-ins of the outside systems, for trials";
  }

  @Override
  public int run(CommandLine line, Console console) throws InterruptedException {
    StandinSettings settings = StandinSettings.read(Path.of(line.getOptionValue("settings")));
    Standin standin = new Standin(settings, SystemClock.INSTANCE);
    standin.start();
    console.err().println("stand-ins listen; platform at " + standin.platform().uri());
    CountDownLatch never = new CountDownLatch(1);
    return DaemonRun.runUntilStopped(never::await, standin::stop);
  }
}
