/**
 * What a process measures of itself: the two measures of the brief for each service (load stalls
 * and batch efficiency), refusals by type, and what control costs. Each partner sees its own
 * services only.
 */
package org.hornbeamusher.metrics;
