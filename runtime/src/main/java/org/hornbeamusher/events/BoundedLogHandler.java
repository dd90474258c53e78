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
 * Writes log lines on a thread of its own.
 *
 * <p>The reader of the log may stall, and writes to its pipe then block. Requests must not wait for
 * that, so lines are passed through a bounded queue; when it is full, lines are dropped, and their
 * number is written with the next batch.
 */
final class BoundedLogHandler extends Handler {

  /** About a second of log lines of a busy entry; at 200 bytes a line less than 1 MB. */
  private static final int MAX_QUEUED_LINES = 4_096;

  private static final int MAX_BATCH_LINES = 256;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
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
    List<String> batch = new ArrayList<>(MAX_BATCH_LINES);
    try {
      while (true) {
        batch.clear();
        batch.add(lines.take());
        lines.drainTo(batch, MAX_BATCH_LINES - 1);
        write(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<String> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(text::append);
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      text.append("{\"level\":\"WARNING\",\"dropped_lines\":").append(droppedLines).append("}\n");
    }
    try {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      // The reader of the log has closed it; there is no other place to report that.
      dropped.addAndGet(batch.size());
    }
  }

  @Override
  public void flush() {
    // The writer thread flushes each batch; waiting for it here could block.
  }

  @Override
  public void close() {
    // The writer thread runs until the process exits, so that the last lines are still written.
  }
}
