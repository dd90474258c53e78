/**
 * Metrics of a process: load stalls and batch efficiency of each service, refusals by type, and the
 * use of the table service and of connections. Each partner sees only its own services.
 */
package org.hornbeamusher.metrics;
