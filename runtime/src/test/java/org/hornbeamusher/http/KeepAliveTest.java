package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeepAliveTest {

  /**
   * Guards against ignoring "close" among other options: the next request would be sent on a
   * connection that the server closes.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"close", "Close", "keep-alive, close", "close, X-Trace", " close "})
  void connectionIsNotUsedAgainAfterClose(String value) {
    HttpHeader connection = new HttpHeader("Connection", value);
    HttpHeader timeout = new HttpHeader("Keep-Alive", "timeout=10");
    assertEquals(0, KeepAlive.usableMillis(new HttpHead(200, List.of(connection, timeout))));
  }

  /** Guards against ignoring the options in a second Connection header. */
  @ParameterizedTest
  @CsvSource({"X-Trace,close", "close,X-Trace"})
  void closeInAnyFieldCounts(String first, String second) {
    List<HttpHeader> fields =
        List.of(new HttpHeader("Connection", first), new HttpHeader("Connection", second));
    assertEquals(0, KeepAlive.usableMillis(new HttpHead(200, fields)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"keep-alive|timeout=10|7000", "X-Close|max=5|4000"})
  void connectionIsUsedForMostOfTheStatedTime(String connection, String keepAlive, long usable) {
    List<HttpHeader> fields =
        List.of(new HttpHeader("Connection", connection), new HttpHeader("Keep-Alive", keepAlive));
    assertEquals(usable, KeepAlive.usableMillis(new HttpHead(200, fields)));
  }
}
