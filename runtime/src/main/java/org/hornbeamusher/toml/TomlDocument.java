package org.hornbeamusher.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A parsed TOML text with the line number of each key.
 *
 * <p>Parsing never throws: a text that is not TOML or a file that cannot be read results in an
 * empty tree with one {@link Problem}, so that a command that checks many files reports all
 * problems.
 */
public final class TomlDocument {

  private static final TomlMapper MAPPER = new TomlMapper();

  private final String fileName;
  private final ObjectNode root;
  private final Map<String, Integer> lines;
  private final Optional<Problem> fatal;

  private TomlDocument(
      String fileName, ObjectNode root, Map<String, Integer> lines, Optional<Problem> fatal) {
    this.fileName = fileName;
    this.root = root;
    this.lines = lines;
    this.fatal = fatal;
  }

  /**
   * Parses a text.
   *
   * @param fileName the file name shown in problems
   * @param text the TOML text
   * @return the tree; empty, with {@link #fatal} set, when the text is not TOML
   */
  public static TomlDocument parse(String fileName, String text) {
    try {
      JsonNode tree = MAPPER.readTree(text);
      ObjectNode root = tree instanceof ObjectNode table ? table : empty();
      return new TomlDocument(fileName, root, LineIndex.of(text), Optional.empty());
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
      return withProblem(fileName, line, Problem.Kind.SYNTAX, e.getOriginalMessage());
    }
  }

  /**
   * Reads and parses a file in UTF-8.
   *
   * @param file the file
   * @return the tree; empty, with {@link #fatal} set, when the file cannot be read
   */
  public static TomlDocument read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      return withProblem(
          file.toString(), 0, Problem.Kind.UNREADABLE, "the file cannot be read (" + e + ")");
    }
  }

  private static TomlDocument withProblem(String file, int line, Problem.Kind kind, String detail) {
    Problem problem = new Problem(file, line, "", kind, detail);
    return new TomlDocument(file, empty(), Map.of(), Optional.of(problem));
  }

  private static ObjectNode empty() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Returns the name of the file that the text was read from.
   *
   * @return the file name
   */
  public String fileName() {
    return fileName;
  }

  /**
   * Returns the tree.
   *
   * @return the top-level table; empty when {@link #fatal} is set
   */
  public ObjectNode root() {
    return root;
  }

  /**
   * Returns the problem because of which there is no tree.
   *
   * @return a syntax error or an unreadable file; empty when the text was parsed
   */
  public Optional<Problem> fatalProblem() {
    return fatal;
  }

  /**
   * Returns the line of a key.
   *
   * @param keyPath for example {@code caller[0].partner}
   * @return its line from 1; if it is absent, the line of the closest enclosing table, or 1
   */
  public int line(String keyPath) {
    String path = keyPath;
    while (!path.isEmpty()) {
      Integer line = lines.get(path);
      if (line != null) {
        return line;
      }
      path = path.substring(0, Math.max(path.lastIndexOf('.'), Math.max(path.lastIndexOf('['), 0)));
    }
    return 1;
  }

  /**
   * Creates a checker of the whole text.
   *
   * @return a checker of the top-level table that has recorded {@link #fatal}, if any
   */
  public TomlChecker checker() {
    return new TomlChecker(this, root, "", new java.util.ArrayList<>(fatal.stream().toList()));
  }

  List<Problem> sortedByLine(List<Problem> problems) {
    return problems.stream()
        .distinct()
        .sorted(java.util.Comparator.comparingInt(Problem::line).thenComparing(Problem::key))
        .toList();
  }
}
