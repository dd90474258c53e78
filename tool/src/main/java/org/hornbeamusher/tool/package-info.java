/** Command line: parses arguments according to the table of commands and runs the command. */
package org.hornbeamusher.tool;
