package org.hornbeamusher.tool;

/**
 * The exit statuses of the command line. The launcher script also uses 69 (no JDK) and 70 (build
 * failed).
 */
final class ExitStatus {

  /** The command succeeded. */
  static final int OK = 0;

  /** A check of the system's guarantees failed, or the command failed. */
  static final int FAILED = 1;

  /** The command line, or a file that it names, is invalid; nothing was done. */
  static final int BAD_INPUT = 2;

  private ExitStatus() {}
}
