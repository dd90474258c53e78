/** The rows in which all entries together keep what crashed endpoints, for the quarantine. */
package org.hornbeamusher.suspects;
