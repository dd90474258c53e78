package org.hornbeamusher.tool;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Option;

/**
 * An option of a command.
 *
 * @param name the long name, without dashes
 * @param value the name of the option's value; empty for a flag
 * @param required whether the option is required
 * @param summary one-line description for help texts
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
  static List<CommandOption> append(List<CommandOption> common, CommandOption own) {
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
