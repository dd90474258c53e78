package org.hornbeamusher.tool;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out for results
 * @param err for problems and usage messages
 */
record Console(PrintStream out, PrintStream err) {}
