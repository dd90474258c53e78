package org.hornbeamusher.toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the line of every key of a TOML text.
 *
 * <p>The TOML library returns a tree without positions, and a problem without a line is hard to
 * find in a document of 3,000 adapters. This class scans a text that the library has already
 * accepted, so it follows only the structure of keys and values and validates nothing: for a text
 * that is not TOML it may return wrong lines, but throws no exception. Example:
 *
 * <pre>
 * 1  id = "a"             id -> 1
 * 2  [[caller]]           caller -> 2, caller[0] -> 2
 * 3  weights = { x = 1 }  caller[0].weights -> 3, caller[0].weights.x -> 3
 * </pre>
 */
final class LineIndex {

  private static final char END_OF_TEXT = '\0';
  private static final String MULTI_LINE_BASIC = "\"\"\"";
  private static final String MULTI_LINE_LITERAL = "'''";

  private final String text;
  private final Map<String, Integer> lines = new HashMap<>();
  private final Map<String, Integer> elementCounts = new HashMap<>();
  private int position;
  private int line = 1;

  private LineIndex(String text) {
    this.text = text;
  }

  static Map<String, Integer> of(String text) {
    LineIndex index = new LineIndex(text);
    index.walk();
    return index.lines;
  }

  private void walk() {
    String table = "";
    skipBlank();
    while (peek() != END_OF_TEXT) {
      int before = position;
      if (peek() == '[') {
        table = header();
      } else {
        keyAndValue(table);
      }
      skipBlank();
      if (position == before) {
        advance();
      }
    }
  }

  private String header() {
    boolean array = text.startsWith("[[", position);
    skip(array ? 2 : 1);
    int headerLine = line;
    List<String> keys = keys();
    skip(array ? 2 : 1);
    String path = "";
    for (int i = 0; i < keys.size(); i++) {
      path = KeyPath.child(path, keys.get(i));
      lines.putIfAbsent(path, headerLine);
      boolean last = i == keys.size() - 1;
      if (last && array) {
        elementCounts.merge(path, 1, Integer::sum);
      }
      if (elementCounts.containsKey(path)) {
        path = KeyPath.element(path, elementCounts.get(path) - 1);
        lines.putIfAbsent(path, headerLine);
      }
    }
    return path;
  }

  private void keyAndValue(String table) {
    int keyLine = line;
    String path = table;
    for (String key : keys()) {
      path = KeyPath.child(path, key);
      lines.putIfAbsent(path, keyLine);
    }
    skipSpace();
    if (peek() == '=') {
      advance();
      skipSpace();
      value(path);
    }
  }

  private List<String> keys() {
    List<String> keys = new ArrayList<>();
    skipSpace();
    keys.add(key());
    skipSpace();
    while (peek() == '.') {
      advance();
      skipSpace();
      keys.add(key());
      skipSpace();
    }
    return keys;
  }

  private String key() {
    int start = position;
    if (peek() == '"' || peek() == '\'') {
      string();
      return text.substring(Math.min(start + 1, position), Math.max(start + 1, position - 1));
    }
    while (Character.isLetterOrDigit(peek()) || peek() == '_' || peek() == '-') {
      advance();
    }
    return text.substring(start, position);
  }

  private void value(String path) {
    switch (peek()) {
      case '[' -> array(path);
      case '{' -> inlineTable(path);
      case '"', '\'' -> string();
      default -> scalar();
    }
  }

  private void array(String path) {
    advance();
    skipBlank();
    for (int i = 0; peek() != ']' && peek() != END_OF_TEXT; i++) {
      String element = KeyPath.element(path, i);
      lines.putIfAbsent(element, line);
      value(element);
      skipToNext(']');
    }
    advance();
  }

  private void inlineTable(String path) {
    advance();
    skipBlank();
    while (peek() != '}' && peek() != END_OF_TEXT) {
      keyAndValue(path);
      skipToNext('}');
    }
    advance();
  }

  /** Skips a comma, or any other character but the closing bracket so that the scan advances. */
  private void skipToNext(char close) {
    skipBlank();
    if (peek() == ',' || peek() != close) {
      advance();
    }
    skipBlank();
  }

  private void scalar() {
    while ("\n#,]}".indexOf(peek()) < 0 && peek() != END_OF_TEXT) {
      advance();
    }
  }

  private void string() {
    char quote = peek();
    String tripleQuote = quote == '"' ? MULTI_LINE_BASIC : MULTI_LINE_LITERAL;
    boolean multiLine = text.startsWith(tripleQuote, position);
    String closingQuote = multiLine ? tripleQuote : String.valueOf(quote);
    skip(closingQuote.length());
    while (peek() != END_OF_TEXT && !text.startsWith(closingQuote, position)) {
      advance();
      if (quote == '"' && text.charAt(position - 1) == '\\') {
        advance();
      }
    }
    skip(closingQuote.length());
    while (multiLine && peek() == quote) {
      advance();
    }
  }

  private void skipBlank() {
    skipSpace();
    while (peek() == '\n' || peek() == '#') {
      while (peek() != '\n' && peek() != END_OF_TEXT) {
        advance();
      }
      advance();
      skipSpace();
    }
  }

  private void skipSpace() {
    while (peek() == ' ' || peek() == '\t' || peek() == '\r') {
      advance();
    }
  }

  private void skip(int count) {
    for (int i = 0; i < count; i++) {
      advance();
    }
  }

  private void advance() {
    if (position < text.length()) {
      if (text.charAt(position) == '\n') {
        line++;
      }
      position++;
    }
  }

  private char peek() {
    return position < text.length() ? text.charAt(position) : END_OF_TEXT;
  }
}
