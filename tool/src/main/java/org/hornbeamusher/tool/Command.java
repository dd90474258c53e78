package org.hornbeamusher.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;

/** A command of the command line. */
interface Command {

  /** Returns the command's name. */
  String name();

  /**
   * Returns the names of the arguments in order. All are required; the last may be given more than
   * once if its name ends with {@link CommandRunner#OR_MORE}.
   */
  List<String> arguments();

  /** Returns the command's options. */
  List<CommandOption> options();

  /** Returns a one-line description for help texts. */
  String summary();

  /**
   * Runs the command.
   *
   * @param line the arguments and options, already checked against the table
   * @param console the output streams
   * @return the exit status
   * @throws InterruptedException when interrupted
   */
  int run(CommandLine line, Console console) throws InterruptedException;
}
