/** Parts of the HTTP servers for callers that both interfaces share. */
package org.hornbeamusher.server;
