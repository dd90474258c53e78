package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class CallerRequestTest {

  /** Guards against tries that are taken for new requests because a path is encoded otherwise. */
  @Test
  void pathIsDecodedWithoutItsQuery() {
    assertEquals("/a/b", request("/a/%62?q=%62").decodedPath());
    assertEquals("//a/b", request("//a/b").decodedPath());
  }

  @Test
  void pathThatCannotBeDecodedIsUnmodified() {
    assertEquals("/a/%zz", request("/a/%zz").decodedPath());
    assertEquals("", request("").decodedPath());
  }

  private static CallerRequest request(String target) {
    return new CallerRequest("GET", "h", target, List.of(), new byte[0], 0);
  }
}
