/** The configuration in force: which request goes to which service, and how. */
package org.hornbeamusher.routes;
