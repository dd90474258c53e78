package org.hornbeamusher.http;

import java.io.IOException;

/** A response cannot be read because it does not follow the protocol. */
final class MalformedResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  private final ResponseFault fault;

  MalformedResponseException(ResponseFault fault) {
    super(fault.text());
    this.fault = fault;
  }

  ResponseFault fault() {
    return fault;
  }
}
