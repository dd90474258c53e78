/**
 * The parts common to all processes of the system: access to the platform, the current documents,
 * and metrics.
 */
package org.hornbeamusher.process;
