/** The only source of time: clocks in milliseconds, which tests can control. */
package org.hornbeamusher.clock;
