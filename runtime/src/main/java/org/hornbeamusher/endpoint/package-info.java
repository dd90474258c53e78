/** What an agent says to the endpoint beside it, over HTTP. */
package org.hornbeamusher.endpoint;
