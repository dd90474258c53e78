/**
 * What each process is told when it starts: TOML files bound to records and checked whole. A record
 * holds no secret: tokens appear as hashes, private keys as the names of their files.
 */
package org.hornbeamusher.settings;
