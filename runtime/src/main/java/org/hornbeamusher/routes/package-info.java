/** The current configuration: which service each request is sent to, and how. */
package org.hornbeamusher.routes;
