/** The command line: parses options from one table and calls the library. */
package org.hornbeamusher.tool;
