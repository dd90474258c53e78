package org.hornbeamusher.tool;

import org.hornbeamusher.demo.Demo;

/** Entry point of the command line. */
public final class Tool {

  private static final int USAGE = 2;

  private Tool() {}

  /**
   * Runs one command.
   *
   * @param args the command's name and its options
   * @throws InterruptedException when the command is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    if (args.length == 1 && args[0].equals("demo")) {
      System.exit(new Demo(System.out).run());
    }
    System.err.println("usage: hornbeamusher demo");
    System.exit(USAGE);
  }
}
