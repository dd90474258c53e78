/** The HTTP client of an agent for the engine beside it. */
package org.hornbeamusher.endpoint;
