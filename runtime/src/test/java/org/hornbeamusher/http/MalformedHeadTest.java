package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Heads of responses that RFC 9112 (sections 4 to 6) does not allow, and unusual ones. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MalformedHeadTest {

  private static final String ID = "Request-Id";
  private static final String BODY = "hello";
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String NONE = "no response";

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

  /** Status lines that are none, or whose status cannot be one. */
  static Stream<String> statusLines() {
    return Stream.of(
        "HTTP/1.1 000 No",
        "HTTP/1.1 099 No",
        "HTTP/1.1 0 No",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200-OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\177K",
        "HTTP/1.1 200",
        "HTTP/1.1",
        "XTTP/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/1. 200 OK",
        "http/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "no response");
  }

  /** Lines that are no header, or that leave the length of the body open. */
  static Stream<String> headerLines() {
    Stream<String> names =
        Stream.of("Content-Length\t", "Content-Length ", "Content Length", "Content-\1Length")
            .map(name -> name + ": 5");
    Stream<String> lengths =
        Stream.of("+5", "-0", "-5", "5x", "0x5", "5 5", "5, 6", "", "5.0", "9223372036854775808")
            .map(length -> "Content-Length: " + length);
    Stream<String> codings =
        Stream.of(
                "x",
                "",
                "identity",
                "gzip",
                "chunked, chunked",
                "chunked, gzip",
                "gzip, chunked",
                "chunked;x",
                "chunked,")
            .map(coding -> "Transfer-Encoding: " + coding);
    Stream<String> spoilt =
        Stream.of(
            "Content-Length; 5",
            "Content-Length 5",
            " Content-Length: 5",
            "Content-Length: 5\r\nContent-Length: 3",
            "Content-Length: 3\r\nContent-Length: 5",
            "Content-Length: 5\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "\0",
            "a\rContent-Length: 5",
            "a: b\rContent-Length: 5",
            "a: b\r\r\nContent-Length: 5");
    return Stream.of(names, lengths, codings, spoilt).flatMap(lines -> lines);
  }

  /** Lines that are no header, beside a length that could be trusted. */
  static Stream<String> linesBesideLength() {
    List<String> lines =
        new ArrayList<>(
            List.of(
                "no header",
                ": x",
                "a : x",
                "a\t: x",
                " a: x",
                "\ta: x",
                "a b: x",
                "a\0b: x",
                "a: x\0y",
                "a: x\ry",
                "a: x\1y",
                "a: x\177y",
                "a: x\r\n folded",
                "a\177: x",
                "aä: x",
                "\0",
                "\r"));
    for (char separator : "()<>@,;\\\"/[]?={}".toCharArray()) {
      lines.add("a" + separator + "b: x");
    }
    return lines.stream().map(line -> line + "\r\nContent-Length: 5");
  }

  private static Stream<String> malformedHeads() {
    Stream<String> statuses =
        statusLines().map(line -> line + "\r\n" + ID + ": a\r\nContent-Length: 5\r\n\r\n");
    Stream<String> lines =
        Stream.concat(headerLines(), linesBesideLength())
            .map(line -> "HTTP/1.1 200 OK\r\n" + ID + ": a\r\n" + line + "\r\n\r\n");
    return Stream.concat(statuses, lines);
  }

  /** How a head arrives: on which connection, and in how many parts. */
  enum Arrival {
    NEW_CONNECTION,
    USED_CONNECTION,
    IN_PARTS,
    BEHIND_INTERIM,
    BEHIND_COPY
  }

  /** Guards against a head that the client library parses and no standard allows. */
  @ParameterizedTest
  @MethodSource("arrivals")
  void malformedHeadIsNoResponse(Arrival arrival) {
    List<String> heads = malformedHeads().toList();
    List<String> passedOn =
        heads.stream().filter(head -> !send(arrival, head + BODY).equals(NONE)).toList();
    assertEquals(
        "",
        passedOn.stream().map(MalformedHeadTest::visible).collect(Collectors.joining("\n")),
        passedOn.size() + " of " + heads.size() + " are taken for responses");
  }

  static Stream<Arrival> arrivals() {
    return Stream.of(Arrival.values());
  }

  /** Guards against a malformed interim response, or copy, whose rest hides the response. */
  @Test
  void malformedHeadInFrontOfTheResponseFailsTheRequest() {
    String own = sound("HTTP/1.1 200 OK", "Content-Length: 5") + BODY;
    List<String> passedOn = new ArrayList<>();
    for (String line : linesBesideLength().toList()) {
      String other = line.substring(0, line.indexOf("\r\nContent-Length"));
      String interim = "HTTP/1.1 103 Early Hints\r\n" + other + "\r\n\r\n" + own;
      String copy = "HTTP/1.1 503 No\r\n" + ID + ": first\r\n" + line + "\r\n\r\nother" + own;
      if (!send(Arrival.NEW_CONNECTION, interim).equals(NONE)) {
        passedOn.add("interim: " + visible(other));
      }
      if (!send(Arrival.USED_CONNECTION, copy).equals(NONE)) {
        passedOn.add("copy: " + visible(line));
      }
    }
    assertEquals(List.of(), passedOn);
  }

  /** Guards against a body of a response whose status, or whose request, allows none. */
  @Test
  void bytesBehindResponseWithoutBodyAreNotItsBody() {
    final String length = "Content-Length: 5";
    assertEquals("204 ", send(sound("HTTP/1.1 204 No") + BODY));
    assertEquals("204 ", send(sound("HTTP/1.0 204 No") + BODY));
    assertEquals("204 ", send(sound("HTTP/1.1 204 No", "Content-Length: 0")));
    assertEquals("304 ", send(sound("HTTP/1.1 304 No") + BODY));
    assertEquals(NONE, send(sound("HTTP/1.1 204 No", length) + BODY));
    assertEquals(NONE, send(sound("HTTP/1.1 204 No", "Transfer-Encoding: chunked") + BODY));
    assertEquals(NONE, send(sound("HTTP/1.1 304 No", length) + BODY));
    assertEquals(NONE, send("HTTP/1.1 103 x\r\n" + length + "\r\n\r\n" + sound("HTTP/1.1 200 OK")));
    server.respond(sound("HTTP/1.1 200 OK", length));
    assertEquals("200 ", received("HEAD", "a"));
  }

  /** Guards against bytes behind a response that are read as the next one. */
  @Test
  void nextRequestDoesNotReadWhatFollowedResponse() {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + ID + ": ";
    server.respond(response + "a\r\n\r\nok" + response + "b\r\n\r\nno");
    server.respond(response + "b\r\n\r\nok");
    assertEquals("200 ok", received("POST", "a"));
    assertEquals("200 ok", received("POST", "b"));
  }

  /** Guards against refusing responses that are unusual and sound. */
  @ParameterizedTest
  @MethodSource("arrivals")
  void unusualSoundHeadIsServed(Arrival arrival) {
    List<String> unserved = new ArrayList<>();
    for (String response : soundResponses().toList()) {
      if (!send(arrival, response).equals("200 " + BODY)) {
        unserved.add(visible(response));
      }
    }
    assertEquals(List.of(), unserved);
  }

  static Stream<String> soundResponses() {
    String chunks = "5\r\nhello\r\n0\r\n\r\n";
    return Stream.of(
        sound("HTTP/1.1 200 ", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 ä\t.", "Content-Length: 5") + BODY,
        sound("HTTP/1.0 200 OK", "Content-Length: 5") + BODY,
        sound("HTTP/1.0 200 OK") + BODY,
        sound("HTTP/1.2 200 OK", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK") + BODY,
        sound("HTTP/1.1 200 OK", "Content-Length:5") + BODY,
        sound("HTTP/1.1 200 OK", "content-length:\t 5\t ") + BODY,
        sound("HTTP/1.1 200 OK", "Content-Length: 05") + BODY,
        sound("HTTP/1.1 200 OK", "Content-Length: 5", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK", "a:", "b: ", "c:\t", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK", "a: äÿ", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09azAZ: x", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK", "a: b c: d;\"e\", f", "Content-Length: 5") + BODY,
        sound("HTTP/1.1 200 OK", "Transfer-Encoding: chunked") + chunks,
        sound("HTTP/1.1 200 OK", "transfer-encoding:\tCHUNKED\t") + chunks,
        sound("HTTP/1.1 200 OK", "Content-Length: 5").replace("\r\n", "\n") + BODY);
  }

  private static String sound(String statusLine, String... lines) {
    StringBuilder head = new StringBuilder(statusLine).append("\r\n");
    head.append(ID).append(": a\r\n");
    for (String line : lines) {
      head.append(line).append("\r\n");
    }
    return head.append("\r\n").toString();
  }

  /** Sends a request to which this is the response; returns its status and body. */
  private String send(Arrival arrival, String response) {
    boolean used = arrival == Arrival.USED_CONNECTION || arrival == Arrival.BEHIND_COPY;
    if (used) {
      server.respond("HTTP/1.1 200 OK\r\n" + ID + ": first\r\nContent-Length: 2\r\n\r\nok");
      assertEquals("200 ok", received("POST", "first"));
    }
    String written =
        switch (arrival) {
          case IN_PARTS -> inParts(response);
          case BEHIND_INTERIM -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response;
          case BEHIND_COPY ->
              "HTTP/1.1 503 No\r\n" + ID + ": first\r\nContent-Length: 2\r\n\r\nno" + response;
          default -> response;
        };
    server.respond(written + ScriptedServer.CLOSE);
    String result = received("POST", "a");
    client.purge(server.uri());
    return result;
  }

  private String send(String response) {
    return send(Arrival.NEW_CONNECTION, response);
  }

  private static String inParts(String response) {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < response.length(); i++) {
      parts.append(response.charAt(i));
      if (i % 7 == 6) {
        parts.append(ScriptedServer.PAUSE);
      }
    }
    return parts.toString();
  }

  private String received(String method, String id) {
    ResponseRecorder recorder = new ResponseRecorder();
    ConnectionOptions options =
        new ConnectionOptions(
            ConnectionOptions.NO_TIMEOUT, Integer.MAX_VALUE, true, EchoedId.of(ID, id));
    client.stream(new HttpRequest(method, server.uri(), Map.of(), new byte[1]), recorder, options);
    return recorder.result.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
  }

  private static String visible(String head) {
    return head.chars()
        .mapToObj(c -> c < ' ' || c > '~' ? "\\x%02x".formatted(c) : String.valueOf((char) c))
        .collect(Collectors.joining());
  }

  /** Records whether a head, and a whole response, was received. */
  private static final class ResponseRecorder implements HttpStreamListener {

    private final CompletableFuture<String> result = new CompletableFuture<>();
    private final StringBuilder received = new StringBuilder();

    @Override
    public void head(HttpHead head) {
      received.append(head.status()).append(' ');
    }

    @Override
    public void data(byte[] bytes) {
      received.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void end() {
      result.complete(received.toString());
    }

    @Override
    public void failed(Throwable failure) {
      result.complete(
          received.isEmpty() ? NONE : received + HornbeamusherException.from(failure).toString());
    }
  }
}
