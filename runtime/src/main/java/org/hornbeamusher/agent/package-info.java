/**
 * The agent: the one process beside an endpoint, which decides what the endpoint holds and runs.
 */
package org.hornbeamusher.agent;
