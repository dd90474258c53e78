/** The entry process, which serves callers and decides which endpoint runs each request. */
package org.hornbeamusher.entry;
