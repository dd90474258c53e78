/** The endpoints that may be sent requests, from a list that lags and has outages. */
package org.hornbeamusher.directory;
