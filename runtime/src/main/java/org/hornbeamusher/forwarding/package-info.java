/**
 * Forwards requests from callers to endpoints and relays the responses, without an additional
 * protocol between them.
 */
package org.hornbeamusher.forwarding;
