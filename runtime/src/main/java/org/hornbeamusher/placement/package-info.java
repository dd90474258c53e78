/** Selects the endpoint at which a request runs. */
package org.hornbeamusher.placement;
