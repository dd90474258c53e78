/** Claims in the platform's table that prevent a non-idempotent request from running twice. */
package org.hornbeamusher.claims;
