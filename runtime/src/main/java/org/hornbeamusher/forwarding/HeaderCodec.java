package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.http.EchoedId;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/** Reads and writes the headers exchanged with callers and endpoints. */
public interface HeaderCodec {

  /**
   * Parses a request's headers.
   *
   * @param headers as the caller sent them
   * @return the metadata in them
   * @throws org.hornbeamusher.failure.HornbeamusherException of type {@code INVALID_HEADER}
   */
  RequestMetadata parseRequest(List<HttpHeader> headers);

  /**
   * Creates the headers of a request to an endpoint.
   *
   * @param headers as the caller sent them
   * @param metadata metadata added for the endpoint
   * @return the caller's headers without hop-by-hop headers and those that only this system may
   *     set, and the added metadata
   */
  List<HttpHeader> toEndpoint(List<HttpHeader> headers, AttemptMetadata metadata);

  /**
   * Returns the id of a request, which endpoints repeat in their responses.
   *
   * @param metadata the metadata of the request
   * @return empty if its caller gave it none
   */
  Optional<EchoedId> echoedId(RequestMetadata metadata);

  /**
   * Parses the head of a response.
   *
   * @param head as the endpoint sent it
   * @return the metadata in it
   */
  ResponseMetadata parseResponse(HttpHead head);

  /**
   * Creates the headers of a response to a caller.
   *
   * @param head as the endpoint sent it
   * @return its headers without hop-by-hop headers
   */
  List<HttpHeader> toCaller(HttpHead head);
}
