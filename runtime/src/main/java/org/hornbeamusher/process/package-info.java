/** What every process of the system has: the platform, the documents in force, and metrics. */
package org.hornbeamusher.process;
