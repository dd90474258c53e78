/** Service documents: what a team declares about one service, and how it changes. */
package org.hornbeamusher.documents;
