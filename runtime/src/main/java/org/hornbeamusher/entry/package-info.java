/** The entry: the process that callers reach, which decides where each request runs. */
package org.hornbeamusher.entry;
