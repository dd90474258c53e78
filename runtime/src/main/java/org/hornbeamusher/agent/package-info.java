/**
 * The agent: the single process beside an endpoint that schedules its requests and adapter loads.
 */
package org.hornbeamusher.agent;
