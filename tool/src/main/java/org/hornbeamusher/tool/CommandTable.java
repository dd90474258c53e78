package org.hornbeamusher.tool;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;

/** All commands, in the order in which {@code --help} lists them. */
final class CommandTable {

  static final List<Command> COMMANDS =
      List.of(
          new DemoCommand(),
          new EntryCommand(),
          new AgentCommand(),
          new StandinCommand(),
          new LoadCommand(),
          new CheckCommand(),
          new SubmitCommand(),
          new ShowCommand(),
          new HistoryCommand(),
          new StatusCommand(),
          new ExplainCommand(),
          new DrainCommand());

  private CommandTable() {}

  static Optional<Command> find(String name) {
    return COMMANDS.stream().filter(command -> command.name().equals(name)).findFirst();
  }

  /**
   * Maps a failure to an exit status, which distinguishes bad input from failures of the system.
   */
  static int exitStatus(FailureType type) {
    return switch (type) {
      case SETTINGS_INVALID, DOCUMENT_INVALID, USAGE -> ExitStatus.BAD_INPUT;
      default -> ExitStatus.FAILED;
    };
  }
}
