package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Heads with a few changed bytes, against the grammar of RFC 9112 as regular expressions. */
class ResponseHeadParserProperties {

  private static final String END = "\r?\n";
  private static final String TEXT = "[\\t -~\\x80-\\xff]*";
  private static final String NAME = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
  private static final Pattern HEAD =
      Pattern.compile(
          "HTTP/1\\.[0-9] [1-5][0-9]{2} %s%s(%s:%s%s)*%s"
              .formatted(TEXT, END, NAME, TEXT, END, END));

  private static final String SOUND = "HTTP/1.1 200 OK\r\nA-b: c d\r\nServer:x\r\n\r\n";

  /** The bytes that begin, separate or end the parts of a head, and some that may not be there. */
  @Provide
  Arbitrary<String> heads() {
    Arbitrary<Character> bytes =
        Arbitraries.of(
            '\r', '\n', ' ', '\t', ':', ';', '\0', '\1', '\177', 'ä', 'a', '0', '9', '(');
    Arbitrary<String> inserted = bytes.list().ofMaxSize(3).map(ResponseHeadParserProperties::text);
    Arbitrary<Integer> places = Arbitraries.integers().between(0, SOUND.length() - 1);
    Arbitrary<Integer> removed = Arbitraries.integers().between(0, 2);
    return Combinators.combine(places, removed, inserted)
        .as(
            (at, count, text) ->
                SOUND.substring(0, at)
                    + text
                    + SOUND.substring(Math.min(SOUND.length(), at + count)));
  }

  private static String text(Iterable<Character> characters) {
    StringBuilder text = new StringBuilder();
    characters.forEach(text::append);
    return text.toString();
  }

  /** Guards against a head that is accepted although the grammar does not allow it. */
  @Property(tries = 5_000, seed = "93")
  void headIsAcceptedIfTheGrammarAllowsIt(
      @ForAll("heads") String head, @ForAll @IntRange(min = 1, max = 9) int partBytes) {
    String parsed = parse(head, partBytes);
    boolean allowed = HEAD.matcher(head.substring(0, endOf(head))).matches();
    assertEquals(allowed && !head.startsWith("101", 9), parsed.equals("accepted"), parsed);
  }

  /** Returns the index behind the first empty line. */
  private static int endOf(String head) {
    var empty = Pattern.compile("\n\r?\n").matcher(head);
    return empty.find() ? empty.end() : head.length();
  }

  private static String parse(String head, int partBytes) {
    ByteBuffer bytes = ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1));
    ResponseHeadParser parser = new ResponseHeadParser(Optional.empty());
    try {
      int next = 0;
      while (next < bytes.limit() && !parser.isComplete()) {
        next = parser.parse(bytes, next, Math.min(bytes.limit(), next + partBytes));
      }
      if (!parser.isComplete()) {
        return "incomplete";
      }
      parser.head();
      return "accepted";
    } catch (MalformedResponseException e) {
      return e.fault().text();
    }
  }
}
