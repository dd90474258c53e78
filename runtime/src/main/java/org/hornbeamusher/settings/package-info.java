/**
 * Settings that processes read at startup: TOML files that are validated and bound to records. The
 * records contain no secrets: tokens are stored as hashes, private keys as the names of their
 * files.
 */
package org.hornbeamusher.settings;
