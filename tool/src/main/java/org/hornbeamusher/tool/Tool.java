package org.hornbeamusher.tool;

import org.hornbeamusher.events.NonResettingLogManager;

/** Entry point of the command line. */
public final class Tool {

  private Tool() {}

  /**
   * Runs one command and exits with its status.
   *
   * @param args the command's name, its arguments and its options
   * @throws InterruptedException when the process is told to end
   */
  public static void main(String[] args) throws InterruptedException {
    // Before anything is logged: the JDK reads this once, when the first logger is made.
    System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
    Console console = new Console(System.out, System.err);
    System.exit(new CommandRunner(console).run(args));
  }
}
