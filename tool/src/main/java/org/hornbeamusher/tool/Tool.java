package org.hornbeamusher.tool;

import org.hornbeamusher.events.NonResettingLogManager;

/** Main class of the command line. */
public final class Tool {

  private Tool() {}

  /**
   * Runs one command and exits with its status.
   *
   * @param args the command's name, its arguments and its options
   * @throws InterruptedException when interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    // Must be set before the first logger is created: the JDK reads the property only then.
    System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
    Console console = new Console(System.out, System.err);
    System.exit(new CommandRunner(console).run(args));
  }
}
