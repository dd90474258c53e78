package org.hornbeamusher.forwarding;

import java.util.List;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/** The headers by which callers and endpoints say what this product has to know. */
public interface Dialect {

  /**
   * Reads a request's headers.
   *
   * @param headers as the caller sent them
   * @return what they say
   * @throws org.hornbeamusher.failure.HornbeamusherException of type {@code INVALID_HEADER}
   */
  RequestFacts request(List<HttpHeader> headers);

  /**
   * Makes the headers that an endpoint gets.
   *
   * @param headers as the caller sent them
   * @param facts what the endpoint is told besides
   * @return the caller's headers, without those that concern its connection or are not its to set
   */
  List<HttpHeader> toEndpoint(List<HttpHeader> headers, SendFacts facts);

  /**
   * Reads the head of an answer.
   *
   * @param head as the endpoint sent it
   * @return what it says
   */
  AnswerFacts answer(HttpHead head);

  /**
   * Makes the headers that a caller gets.
   *
   * @param head as the endpoint sent it
   * @return its headers, without those that concern its connection
   */
  List<HttpHeader> toCaller(HttpHead head);
}
