package org.hornbeamusher.tool;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Test;

class ToolTest {

  @Test
  void theToolHasAnEntryPoint() throws Exception {
    assertNotNull(Tool.class.getMethod("main", String[].class));
  }
}
