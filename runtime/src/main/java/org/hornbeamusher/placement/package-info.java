/** Decides at which endpoint a request runs, or that it cannot run in time. */
package org.hornbeamusher.placement;
