/** Both partners on loopback: real daemons, stand-ins around them, and a skewed workload. */
package org.hornbeamusher.demo;
