/** The request rates that endpoints state in their answers, and how all entries keep to them. */
package org.hornbeamusher.ratelimit;
