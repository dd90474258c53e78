package org.hornbeamusher.tool;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hornbeamusher.events.LogSetup;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.toml.Problem;
import org.hornbeamusher.toml.Problems;

/** Parses a command line, runs the command and maps failures to exit statuses. */
final class CommandRunner {

  static final String VERSION = "0.1.0";

  /** Suffix of the name of a last argument that may be given more than once. */
  static final String OR_MORE = "...";

  private final Console console;

  CommandRunner(Console console) {
    this.console = console;
  }

  int run(String... args) throws InterruptedException {
    if (args.length == 0) {
      Help.print(console.err());
      return ExitStatus.BAD_INPUT;
    }
    switch (args[0]) {
      case "--help", "help" -> {
        Help.print(console.out());
        return ExitStatus.OK;
      }
      case "--version" -> {
        console.out().println("hornbeamusher " + VERSION);
        return ExitStatus.OK;
      }
      default -> {
        Optional<Command> command = CommandTable.find(args[0]);
        if (command.isPresent()) {
          return run(command.get(), Arrays.copyOfRange(args, 1, args.length));
        }
        console.err().println("hornbeamusher: there is no command " + args[0] + "; see --help");
        return ExitStatus.BAD_INPUT;
      }
    }
  }

  private int run(Command command, String[] args) throws InterruptedException {
    if (Arrays.asList(args).contains("--help")) {
      Help.print(command, console.out());
      return ExitStatus.OK;
    }
    Options options = new Options();
    command.options().forEach(option -> options.addOption(option.toOption()));
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, args);
    } catch (ParseException e) {
      return usage(command, e.getMessage());
    }
    List<String> arguments = command.arguments();
    if (!argumentCountMatches(line.getArgList().size(), arguments)) {
      return usage(command, "expected: " + Help.usage(command));
    }
    LogSetup.toStandardError(Level.WARNING);
    try {
      return command.run(line, console);
    } catch (HornbeamusherException e) {
      return failed(e);
    }
  }

  private static boolean argumentCountMatches(int given, List<String> arguments) {
    boolean repeatable = !arguments.isEmpty() && arguments.getLast().endsWith(OR_MORE);
    return given == arguments.size() || (repeatable && given > arguments.size());
  }

  private int usage(Command command, String message) {
    console.err().println("hornbeamusher " + command.name() + ": " + message);
    return ExitStatus.BAD_INPUT;
  }

  private int failed(HornbeamusherException failure) {
    List<Problem> problems = Problems.of(failure).all();
    if (problems.isEmpty()) {
      console
          .err()
          .printf(
              "%s (%d): %s%n",
              failure.type().label(), failure.type().number(), failure.getMessage());
    } else {
      problems.forEach(console.err()::println);
    }
    return CommandTable.exitStatus(failure.type());
  }
}
