/** Enforces the request rate limits that endpoints advertise in their responses. */
package org.hornbeamusher.ratelimit;
