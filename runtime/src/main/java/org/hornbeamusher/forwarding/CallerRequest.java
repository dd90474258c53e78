package org.hornbeamusher.forwarding;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.quarantine.RequestContent;
import org.hornbeamusher.quarantine.RequestFingerprint;

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

  /** Any host; only the path of the URI is used. */
  private static final String ORIGIN = "http://host";

  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the path without percent-encoding; unmodified if it cannot be decoded. */
  String decodedPath() {
    try {
      String decoded = URI.create(ORIGIN + path()).getPath();
      return decoded == null ? path() : decoded;
    } catch (IllegalArgumentException e) {
      // Not a valid path, but an endpoint may accept it.
      return path();
    }
  }

  String hostName() {
    int port = host.indexOf(':');
    return port < 0 ? host : host.substring(0, port);
  }

  /**
   * Returns what identifies the request when its caller sends it again under another id.
   *
   * @param account the client account; empty for an anonymous caller
   */
  RequestContent content(Optional<AccountName> account) {
    Map<String, String> caller =
        account.map(name -> Map.of("account", name.value())).orElse(Map.of());
    return new RequestContent(
        RequestFingerprint.of(host, method + " " + target, body, caller), body.length);
  }
}
