/** The status that a process reports to operators, as data, JSON, text and a read-only page. */
package org.hornbeamusher.status;
