/** The event loop of a process: one thread that runs its event handlers and timers. */
package org.hornbeamusher.loop;
