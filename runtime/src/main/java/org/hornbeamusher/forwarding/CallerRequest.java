package org.hornbeamusher.forwarding;

import java.util.List;
import org.hornbeamusher.http.HttpHeader;

/**
 * A request as sent by its caller.
 *
 * @param method for example {@code POST}
 * @param host the Host header, unmodified
 * @param target path and query, unmodified
 * @param headers all headers in order
 * @param body the content
 * @param arrivedMillis when its head was read
 */
record CallerRequest(
    String method,
    String host,
    String target,
    List<HttpHeader> headers,
    byte[] body,
    long arrivedMillis) {

  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  String hostName() {
    int port = host.indexOf(':');
    return port < 0 ? host : host.substring(0, port);
  }
}
