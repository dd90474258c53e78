package org.hornbeamusher.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.hornbeamusher.security.TokenHash;
import org.hornbeamusher.toml.Problem.Kind;
import org.hornbeamusher.toml.TomlChecker;

/**
 * Reads a token's hash from the one of three keys that is present: {@code token_sha256} contains
 * the hash itself; {@code token_file} names a file and {@code token_env} an environment variable
 * that contains the token.
 */
final class TokenReader {

  private static final String HASH = "token_sha256";
  private static final String FILE = "token_file";
  private static final String ENVIRONMENT = "token_env";

  private final Path directory;

  TokenReader(Path directory) {
    this.directory = directory;
  }

  /** Returns null and records a problem when there is no usable token. */
  TokenHash hash(TomlChecker table) {
    List<String> presentKeys = Stream.of(HASH, FILE, ENVIRONMENT).filter(table::has).toList();
    if (presentKeys.size() != 1) {
      table.record(
          HASH,
          presentKeys.isEmpty() ? Kind.MISSING_KEY : Kind.INVALID_VALUE,
          "exactly one of token_sha256, token_file and token_env is required");
      return null;
    }
    return switch (presentKeys.getFirst()) {
      case HASH -> table.value(HASH, TokenHash::parse);
      case FILE -> fromFile(table);
      default -> fromEnvironment(table);
    };
  }

  private TokenHash fromFile(TomlChecker table) {
    Path file = table.value(FILE, directory::resolve);
    if (file == null) {
      return null;
    }
    try {
      return ofToken(table, FILE, Files.readString(file).strip());
    } catch (IOException e) {
      table.record(FILE, Kind.UNREADABLE, file + " cannot be read");
      return null;
    }
  }

  private static TokenHash fromEnvironment(TomlChecker table) {
    String name = table.string(ENVIRONMENT);
    String token = name.isEmpty() ? null : System.getenv(name);
    if (token == null) {
      table.record(ENVIRONMENT, Kind.UNREADABLE, "the environment has no " + name);
      return null;
    }
    return ofToken(table, ENVIRONMENT, token);
  }

  private static TokenHash ofToken(TomlChecker table, String key, String token) {
    if (token.length() < TokenHash.MINIMUM_TOKEN_LENGTH) {
      table.record(
          key,
          Kind.INVALID_VALUE,
          "the token is shorter than " + TokenHash.MINIMUM_TOKEN_LENGTH + " characters");
      return null;
    }
    return TokenHash.ofToken(token);
  }
}
