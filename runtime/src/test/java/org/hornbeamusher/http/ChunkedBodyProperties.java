package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Chunks with a few changed bytes, against the grammar of RFC 9112 as regular expressions. */
class ChunkedBodyProperties {

  private static final String SOUND = "2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\nTrailer: x\r\n\r\n";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String TEXT = "[\\t -~\\x80-\\xff]*";
  private static final Pattern SIZE =
      Pattern.compile("([0-9a-fA-F]{1,9})[ \\t]*(?:;%s)?(\\r?\\n)".formatted(TEXT));
  private static final Pattern TRAILER =
      Pattern.compile("(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + TEXT + "\\r?\\n)*\\r?\\n");
  private static final int HEXADECIMAL = 16;
  private static final long TIMEOUT_MILLIS = 5_000;

  private static HttpClient client;
  private static ScriptedServer server;

  @BeforeContainer
  static void start() throws IOException {
    client = new HttpClient(1);
    client.start();
    server = new ScriptedServer();
  }

  @AfterContainer
  static void stop() throws IOException {
    client.stop();
    server.close();
  }

  /** The bytes that begin, separate or end the parts of a chunk, and some that may not be there. */
  @Provide
  Arbitrary<String> chunks() {
    Arbitrary<String> inserted =
        Arbitraries.of("\r", "\n", "\r\n", " ", "\t", ";", ":", "\0", "0", "2", "f", "x", "");
    Arbitrary<Integer> places = Arbitraries.integers().between(0, SOUND.length() - 1);
    Arbitrary<Integer> removed = Arbitraries.integers().between(0, 2);
    return Combinators.combine(places, removed, inserted)
        .as(
            (at, count, text) ->
                SOUND.substring(0, at)
                    + text
                    + SOUND.substring(Math.min(SOUND.length(), at + count)));
  }

  /** Guards against a body that the client library delimits in another way than the grammar. */
  @Property(tries = 300, seed = "93")
  void bodyIsThatOfTheGrammarOrTheResponseFails(@ForAll("chunks") String chunks) {
    server.respond(HEAD + chunks + ScriptedServer.CLOSE);
    Optional<String> received =
        client
            .send(server.call(), TIMEOUT_MILLIS)
            .handle(
                (response, failure) ->
                    Optional.ofNullable(response)
                        .map(done -> new String(done.body(), StandardCharsets.ISO_8859_1)))
            .join();
    client.purge(server.uri());
    assertEquals(decode(chunks), received);
  }

  /** Returns the body; empty if the chunks are malformed or incomplete. */
  private static Optional<String> decode(String chunks) {
    StringBuilder body = new StringBuilder();
    int next = 0;
    while (true) {
      Matcher size = SIZE.matcher(chunks).region(next, chunks.length());
      if (!size.lookingAt()) {
        return Optional.empty();
      }
      int bytes = Integer.parseInt(size.group(1), HEXADECIMAL);
      if (bytes == 0) {
        boolean sound = TRAILER.matcher(chunks).region(size.end(), chunks.length()).lookingAt();
        return sound ? Optional.of(body.toString()) : Optional.empty();
      }
      int end = size.end() + bytes;
      if (end > chunks.length() || !chunks.startsWith(size.group(2), end)) {
        return Optional.empty();
      }
      body.append(chunks, size.end(), end);
      next = end + size.group(2).length();
    }
  }
}
