/**
 * What every process of the system has: access to the platform, the current documents, and metrics.
 */
package org.hornbeamusher.process;
