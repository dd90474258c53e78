/**
 * Parses and validates TOML texts: all problems are found in one pass and reported with file, line
 * and key. Used for settings and for service documents.
 */
package org.hornbeamusher.toml;
