package org.hornbeamusher.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Shows the status of a process. */
final class StatusCommand implements Command {

  @Override
  public String name() {
    return "status";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return CommandOption.append(
        OperatorClient.OPTIONS, CommandOption.flag("json", "print JSON instead of text"));
  }

  @Override
  public String summary() {
    return "show what is resident, queued, refused and in force";
  }

  @Override
  public int run(CommandLine line, Console console) {
    String path = line.hasOption("json") ? "/status" : "/status.txt";
    console.out().println(new OperatorClient(line).send("GET", path, "", console).stripTrailing());
    return ExitStatus.OK;
  }
}
