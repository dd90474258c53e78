package org.hornbeamusher.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Drains a process: it completes its requests and then ends. */
final class DrainCommand implements Command {

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return OperatorClient.OPTIONS;
  }

  @Override
  public String summary() {
    return "make a process leave after its last request";
  }

  @Override
  public int run(CommandLine line, Console console) {
    new OperatorClient(line).send("POST", "/operator/drain", "", console);
    console.out().println("leaving");
    return ExitStatus.OK;
  }
}
