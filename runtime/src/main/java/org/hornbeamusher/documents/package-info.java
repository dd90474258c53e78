/** Service documents: declarations of services by their teams, and how they are changed. */
package org.hornbeamusher.documents;
