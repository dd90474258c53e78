/** Client accounts of a configuration, with their keys and quotas. */
package org.hornbeamusher.accounts;
