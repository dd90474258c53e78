/** Keeps a process up to date with rows of the platform's table service. */
package org.hornbeamusher.watch;
