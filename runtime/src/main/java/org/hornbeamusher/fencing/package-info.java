/** Allocation of increasing fencing numbers to the successive agents of an endpoint. */
package org.hornbeamusher.fencing;
