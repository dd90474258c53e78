package org.hornbeamusher.tool;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.documents.DocumentParseResult;
import org.hornbeamusher.documents.ServiceDocumentReader;
import org.hornbeamusher.settings.AgentSettings;
import org.hornbeamusher.settings.EntrySettings;
import org.hornbeamusher.standin.StandinSettings;
import org.hornbeamusher.toml.Problem;
import org.hornbeamusher.toml.TomlDocument;

/**
 * Checks a file without running anything. A file with the key {@code role} is checked as a settings
 * file, any other as a service document.
 */
final class CheckCommand implements Command {

  private static final String ROLE = "role";

  @Override
  public String name() {
    return "check";
  }

  @Override
  public List<String> arguments() {
    return List.of("FILE");
  }

  @Override
  public List<CommandOption> options() {
    return List.of();
  }

  @Override
  public String summary() {
    return "check settings or a service document, offline";
  }

  @Override
  public int run(CommandLine line, Console console) {
    Path file = Path.of(line.getArgList().getFirst());
    TomlDocument document = TomlDocument.read(file);
    if (document.fatalProblem().isPresent()) {
      console.err().println(document.fatalProblem().get());
      return ExitStatus.BAD_INPUT;
    }
    switch (document.root().path(ROLE).asText()) {
      case "entry" -> EntrySettings.read(file);
      case "agent" -> AgentSettings.read(file);
      case "standin" -> StandinSettings.read(file);
      case "" -> {
        return document(file, console);
      }
      default -> {
        Problem problem =
            new Problem(
                file.toString(),
                document.line(ROLE),
                ROLE,
                Problem.Kind.INVALID_VALUE,
                "must be \"entry\", \"agent\" or \"standin\"");
        console.err().println(problem);
        return ExitStatus.BAD_INPUT;
      }
    }
    console.out().println(file + ": good settings");
    return ExitStatus.OK;
  }

  private static int document(Path file, Console console) {
    return switch (ServiceDocumentReader.read(file.toString(), TextFiles.read(file))) {
      case DocumentParseResult.Valid valid -> {
        console.out().println(file + ": good document of " + valid.document().service());
        yield ExitStatus.OK;
      }
      case DocumentParseResult.Invalid invalid -> {
        invalid.problems().all().forEach(console.err()::println);
        yield ExitStatus.BAD_INPUT;
      }
    };
  }
}
