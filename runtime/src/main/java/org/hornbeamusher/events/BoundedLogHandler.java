package org.hornbeamusher.events;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from a thread of its own.
 *
 * <p>Whoever reads the log may stall, and a write to its pipe then blocks. A request must not wait
 * for that, so lines go through a bounded queue; what finds it full is counted and dropped, and the
 * number of lost lines is written as soon as there is room.
 */
final class BoundedLogHandler extends Handler {

  /** About a second of a busy entry's lines, at 200 bytes each well below a megabyte. */
  private static final int MOST_LINES = 4_096;

  private static final int BATCH_LINES = 256;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MOST_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream out;

  BoundedLogHandler(OutputStream out) {
    this.out = out;
    Thread writer = new Thread(this::writeAll, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    List<String> batch = new ArrayList<>(BATCH_LINES);
    try {
      while (true) {
        batch.clear();
        batch.add(lines.take());
        lines.drainTo(batch, BATCH_LINES - 1);
        write(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<String> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(text::append);
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      text.append("{\"level\":\"WARNING\",\"dropped_lines\":").append(lost).append("}\n");
    }
    try {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      // Nobody reads the log any more; there is no other place to say so.
      dropped.addAndGet(batch.size());
    }
  }

  @Override
  public void flush() {
    // The writer flushes each batch; waiting for it here could block.
  }

  @Override
  public void close() {
    // The writer ends with the process, so that the last lines still go out.
  }
}
