package org.hornbeamusher.tool;

import java.io.PrintStream;
import java.util.stream.Collectors;

/** Prints help texts generated from the table of commands. */
final class Help {

  private Help() {}

  static void print(PrintStream out) {
    out.println("usage: hornbeamusher COMMAND [options]");
    out.println();
    for (Command command : CommandTable.COMMANDS) {
      out.printf("  %-34s %s%n", usage(command), command.summary());
    }
    out.println();
    out.println("  hornbeamusher COMMAND --help       options of one command");
    out.println("  hornbeamusher --version            version of this build");
    out.println();
    out.println("exit status: 0 done; 1 a promise was broken or the command failed;");
    out.println("             2 the command line or a file is wrong, and nothing was done");
  }

  static void print(Command command, PrintStream out) {
    out.println("usage: hornbeamusher " + usage(command) + " [options]");
    out.println(command.summary());
    for (CommandOption option : command.options()) {
      String left = option.value().isEmpty() ? "" : " " + option.value();
      String required = option.required() ? " (required)" : "";
      out.printf("  --%-22s %s%s%n", option.name() + left, option.summary(), required);
    }
  }

  static String usage(Command command) {
    String arguments =
        command.arguments().stream().map(name -> " " + name).collect(Collectors.joining());
    return command.name() + arguments;
  }
}
