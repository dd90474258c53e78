package org.hornbeamusher.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Reads text files given on the command line. */
final class TextFiles {

  private TextFiles() {}

  static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.USAGE, file + " cannot be read").causedBy(e);
    }
  }
}
