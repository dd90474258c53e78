package org.hornbeamusher.tool;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.explain.Explanation;
import org.hornbeamusher.explain.LogLine;

/** Explains from the logs of several processes how one request ended, and why. */
final class ExplainCommand implements Command {

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public List<String> arguments() {
    return List.of("ID", "FILE" + CommandRunner.OR_MORE);
  }

  @Override
  public List<CommandOption> options() {
    return List.of();
  }

  @Override
  public String summary() {
    return "put the log lines of one request in order and name the deciding one";
  }

  @Override
  public int run(CommandLine line, Console console) {
    String id = line.getArgList().get(0);
    List<LogLine> all = new ArrayList<>();
    for (String name : line.getArgList().subList(1, line.getArgList().size())) {
      Path file = Path.of(name);
      String source = file.getFileName().toString();
      TextFiles.read(file).lines().forEach(text -> LogLine.parse(source, text).ifPresent(all::add));
    }
    Explanation explanation = Explanation.of(id, all);
    if (explanation.lines().isEmpty()) {
      console.err().println("hornbeamusher explain: no line of these files bears the id " + id);
      return ExitStatus.FAILED;
    }
    explanation.lines().forEach(console.out()::println);
    if (explanation.end().isEmpty()) {
      console.out().println("no end: it runs still, or its entry's log is missing");
    }
    console.out().println("decided by: " + explanation.deciding().orElseThrow());
    return ExitStatus.OK;
  }
}
