package org.hornbeamusher.tool;

/** The exit statuses of the command line. The launcher adds 69 (no JDK) and 70 (build failed). */
final class ExitStatus {

  /** The command did what it was asked for. */
  static final int OK = 0;

  /** A promise was broken, or the command failed. */
  static final int FAILED = 1;

  /** The command line, or a file it names, is wrong; nothing was done. */
  static final int BAD_INPUT = 2;

  private ExitStatus() {}
}
