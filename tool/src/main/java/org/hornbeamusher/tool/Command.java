package org.hornbeamusher.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;

/** One command of the tool. */
interface Command {

  /** Returns the word it is called by. */
  String name();

  /**
   * Returns the names of its arguments, in order; each is required, the last may be given often.
   */
  List<String> arguments();

  /** Returns its options. */
  List<CommandOption> options();

  /** Returns what it does, in one line. */
  String summary();

  /**
   * Runs it.
   *
   * @param line the arguments and options, already checked against the table
   * @param console where it writes
   * @return the exit status
   * @throws InterruptedException when the process is told to end
   */
  int run(CommandLine line, Console console) throws InterruptedException;
}
