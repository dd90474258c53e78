/** The endpoints that accept requests, from a list that lags behind and has outages. */
package org.hornbeamusher.directory;
