/** How an answer arrives: what it takes, and what was received of one that does not end. */
package org.hornbeamusher.transfer;
