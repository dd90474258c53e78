package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.MonotonicClock;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.transfer.TransferTimeouts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Chunks and trailers that RFC 9112 (section 7.1) does not allow, and unusual ones. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MalformedChunkTest {

  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String LAST = "0\r\n\r\n";
  private static final String SERVED = "200 hello";
  private static final String MALFORMED = "RESPONSE_MALFORMED";

  private final HttpClient client = new HttpClient(1);
  private ScriptedServer server;

  @BeforeEach
  void start() throws IOException {
    client.start();
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  /** Guards against a size of a chunk that two readers understand differently. */
  @Test
  void malformedSizeFailsTheResponse() {
    List<String> sizes =
        List.of(
            "5x",
            "x",
            "-5",
            "+5",
            "0x5",
            " 5",
            "\t5",
            "5 x",
            "5 5",
            "",
            ";",
            "5\rx",
            "5\0",
            "5,",
            "5;a\0b",
            "5;a\rb",
            "5;a\177",
            "8000000000000000",
            "FFFFFFFFFFFFFFFFF",
            "5:");
    List<String> responses = new ArrayList<>();
    sizes.forEach(size -> responses.add(size + "\r\nhello\r\n" + LAST));
    sizes.forEach(size -> responses.add("2\r\nhe\r\n" + size + "\r\nllo\r\n" + LAST));
    assertAllFail(responses);
  }

  /** Guards against a chunk that is longer or shorter than its size. */
  @Test
  void chunkThatDoesNotEndBehindItsDataFailsTheResponse() {
    assertAllFail(
        List.of(
            "5\r\nhello0\r\n\r\n",
            "5\r\nhello\r0\r\n\r\n",
            "5\r\nhello\r\r\n" + LAST,
            "5\r\nhello \r\n" + LAST,
            "4\r\nhello\r\n" + LAST,
            "6\r\nhello\r\n" + LAST));
  }

  /** Guards against a trailer whose lines are no headers. */
  @Test
  void malformedTrailerFailsTheResponse() {
    List<String> lines =
        List.of(
            "no header",
            "a b: c",
            "a : b",
            " a: b",
            "\ta: b",
            ": b",
            "a\0: b",
            "a: b\0",
            "a: b\rc",
            "\0",
            "\r",
            "a: b\r\n folded",
            "ä: b");
    assertAllFail(lines.stream().map(line -> "5\r\nhello\r\n0\r\n" + line + "\r\n\r\n").toList());
  }

  /** Guards against the copy of an earlier response whose chunks hide the own one. */
  @Test
  void malformedChunkOfCopyFailsTheRequest() {
    server.respond("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok");
    server.respond(
        "HTTP/1.1 503 No\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2x\r\nno\r\n"
            + LAST
            + "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\nok");
    assertEquals("200 ok", sendWithId("a"));
    assertEquals(MALFORMED, sendWithId("b"));
  }

  private String sendWithId(String id) {
    TransferTimeouts limits = new TransferTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    ResponseCollector collector =
        new ResponseCollector(server.uri(), limits, 1_000, true, MonotonicClock.INSTANCE);
    client.stream(
        server.call(),
        collector,
        new ConnectionOptions(
            ConnectionOptions.NO_TIMEOUT, Integer.MAX_VALUE, true, EchoedId.of("Request-Id", id)));
    return result(collector.future());
  }

  /** Guards against refusing chunks that are unusual and sound. */
  @Test
  void unusualSoundChunksAreServed() {
    List<String> unserved = new ArrayList<>();
    for (String chunks :
        List.of(
            "5\r\nhello\r\n" + LAST,
            "5\nhello\n0\n\n",
            "0005\r\nhello\r\n000\r\n\r\n",
            "5;a\r\nhello\r\n0;b=c\r\n\r\n",
            "5 ; a = \"b;\tä\"\r\nhello\r\n" + LAST,
            "5  \r\nhello\r\n" + LAST,
            "1\r\nh\r\n4\r\nello\r\n" + LAST,
            "5\r\nhello\r\n0\r\nTrailer: x\r\nb:\r\nContent-Length: 3\r\n\r\n")) {
      for (String response : List.of(HEAD + chunks, inParts(HEAD + chunks))) {
        if (!send(response).equals(SERVED)) {
          unserved.add(chunks);
        }
      }
    }
    assertEquals(List.of(), unserved);
  }

  private void assertAllFail(List<String> bodies) {
    List<String> accepted = new ArrayList<>();
    for (String body : bodies) {
      for (String response : List.of(HEAD + body, inParts(HEAD + body))) {
        String result = send(response);
        if (!result.equals(MALFORMED)) {
          accepted.add(result + " for " + body.replace("\r", "\\r").replace("\n", "\\n"));
        }
      }
    }
    assertEquals(List.of(), accepted, accepted.size() + " of " + 2 * bodies.size());
  }

  private static String inParts(String response) {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < response.length(); i++) {
      parts.append(response.charAt(i));
      if (i > HEAD.length()) {
        parts.append(ScriptedServer.PAUSE);
      }
    }
    return parts.toString();
  }

  private String send(String response) {
    server.respond(response + ScriptedServer.CLOSE);
    String result = result(client.send(server.call(), TIMEOUT_MILLIS));
    client.purge(server.uri());
    return result;
  }

  /** Returns status and body of a response, or the type of its failure. */
  private static String result(CompletableFuture<HttpResponse> response) {
    return response
        .handle(
            (done, thrown) ->
                thrown == null
                    ? done.status() + " " + new String(done.body(), StandardCharsets.UTF_8)
                    : HornbeamusherException.from(thrown).type().name())
        .join();
  }
}
