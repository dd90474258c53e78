package org.hornbeamusher.tool;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Option;

/**
 * One option of a command.
 *
 * @param name its long name, without dashes
 * @param value the name of its value, or empty for a switch
 * @param required whether it must be given
 * @param summary what it does, in one line
 */
record CommandOption(String name, String value, boolean required, String summary) {

  static CommandOption required(String name, String value, String summary) {
    return new CommandOption(name, value, true, summary);
  }

  static CommandOption optional(String name, String value, String summary) {
    return new CommandOption(name, value, false, summary);
  }

  static CommandOption flag(String name, String summary) {
    return new CommandOption(name, "", false, summary);
  }

  /** Returns the common options followed by a command's own. */
  static List<CommandOption> and(List<CommandOption> common, CommandOption own) {
    List<CommandOption> all = new ArrayList<>(common);
    all.add(own);
    return List.copyOf(all);
  }

  Option toOption() {
    return Option.builder()
        .longOpt(name)
        .hasArg(!value.isEmpty())
        .argName(value)
        .required(required)
        .desc(summary)
        .get();
  }
}
