/** An HTTP client for many concurrent exchanges, based on Undertow. */
package org.hornbeamusher.http;
