/**
 * Who may do what: bearer tokens by role, and TLS contexts whose keys can be replaced while the
 * process runs. Tokens themselves are held nowhere, only their SHA-256 hashes.
 */
package org.hornbeamusher.security;
