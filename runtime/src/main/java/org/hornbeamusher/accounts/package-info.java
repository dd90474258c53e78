/** Client accounts, their keys and their quotas, as one configuration states them. */
package org.hornbeamusher.accounts;
