/**
 * Demo of both partners over loopback: real daemons, stand-ins of the external systems, and a
 * skewed workload.
 */
package org.hornbeamusher.demo;
