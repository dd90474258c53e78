/** An HTTP client for many concurrent exchanges, on Undertow. */
package org.hornbeamusher.http;
