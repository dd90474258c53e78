/** One thread that runs the shells of a process, and its timers. */
package org.hornbeamusher.loop;
