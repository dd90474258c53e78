/** The row from which the successive agents of one endpoint take rising fencing numbers. */
package org.hornbeamusher.fencing;
