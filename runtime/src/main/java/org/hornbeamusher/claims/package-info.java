/** Claims in the platform's table that keep a non-repeatable request from running twice. */
package org.hornbeamusher.claims;
