/**
 * Discrete-event simulation of the policies of entry and agent with fake endpoints and a virtual
 * clock. Each simulation is seeded and single-threaded and gives the same result in every run.
 * Machines are not modelled, and the network only as fixed delays.
 */
package org.hornbeamusher.bench.policy;
