/** Shared storage, for the quarantine, of the requests that were running at endpoint crashes. */
package org.hornbeamusher.suspects;
