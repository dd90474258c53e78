/** Carries service documents between processes on their connections. */
package org.hornbeamusher.exchange;
