/**
 * Whether an endpoint takes requests now, by its own statements: that it is leaving, and that it
 * wants no request for a while. Decisions without network or threads.
 */
package org.hornbeamusher.availability;
