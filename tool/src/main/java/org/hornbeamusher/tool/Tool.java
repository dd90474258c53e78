package org.hornbeamusher.tool;

/** Entry point of the command line. */
public final class Tool {

  private Tool() {}

  /**
   * Runs one command.
   *
   * @param args the command's name and its options
   */
  public static void main(String[] args) {
    System.out.println("hornbeamusher 0.1.0");
  }
}
