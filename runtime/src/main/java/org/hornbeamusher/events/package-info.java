/** Numbered, structured log events. */
package org.hornbeamusher.events;
