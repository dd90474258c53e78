/**
 * Reads TOML texts and checks them whole: every fault is found in one pass and named with file,
 * line and key. Settings and service documents are both read through it.
 */
package org.hornbeamusher.toml;
