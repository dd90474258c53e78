package org.hornbeamusher.tool;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err faults and usage
 */
record Console(PrintStream out, PrintStream err) {}
