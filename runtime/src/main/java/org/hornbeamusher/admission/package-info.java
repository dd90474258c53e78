/** Decides at the door of an entry which requests are let in. No network, no threads. */
package org.hornbeamusher.admission;
