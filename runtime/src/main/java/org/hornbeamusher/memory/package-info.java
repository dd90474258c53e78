/** Bounds on the memory that a process holds for requests and their responses. */
package org.hornbeamusher.memory;
