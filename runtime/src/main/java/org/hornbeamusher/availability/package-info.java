/**
 * Whether an endpoint accepts requests now, according to its responses: whether it is leaving and
 * whether it backs off. Decision logic without network or threads.
 */
package org.hornbeamusher.availability;
