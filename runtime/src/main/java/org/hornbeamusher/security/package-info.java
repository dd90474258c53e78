/**
 * Authentication and authorisation: bearer tokens by role, and TLS contexts whose keys can be
 * replaced while the process runs. Tokens themselves are not kept, only their SHA-256 hashes.
 */
package org.hornbeamusher.security;
