/** Order and pace of the loads from the weight store over all engines. */
package org.hornbeamusher.recovery;
