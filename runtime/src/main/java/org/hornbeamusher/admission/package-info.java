/**
 * Admission control of an entry: which requests are admitted. Pure decision logic without network
 * access or threads.
 */
package org.hornbeamusher.admission;
