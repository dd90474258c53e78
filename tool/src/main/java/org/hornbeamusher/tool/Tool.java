package org.hornbeamusher.tool;

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
    Console console = new Console(System.out, System.err);
    System.exit(new CommandRunner(console).run(args));
  }
}
