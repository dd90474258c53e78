/** The one notion of time: milliseconds from a clock that tests turn by hand. */
package org.hornbeamusher.clock;
