/** Progress of the transfer of responses: timeouts, duration and received bytes. */
package org.hornbeamusher.transfer;
