package org.hornbeamusher.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.demo.Demo;

/** Runs the demo: both partners over the loopback interface. */
final class DemoCommand implements Command {

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return List.of();
  }

  @Override
  public String summary() {
    return "run both partners on loopback and check what callers receive";
  }

  @Override
  public int run(CommandLine line, Console console) throws InterruptedException {
    return new Demo(console.out()).run();
  }
}
