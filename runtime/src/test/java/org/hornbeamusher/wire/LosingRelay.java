package org.hornbeamusher.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Stands between two ends. It can be slow, stop to read, and lose track of the connections that are
 * open.
 */
final class LosingRelay {

  private final InetSocketAddress target;
  private final ServerSocket server;
  private final List<AtomicBoolean> lost = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile long pauseMillis;
  private volatile boolean stopped;

  LosingRelay(InetSocketAddress target) {
    this.target = target;
    try {
      this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start() {
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** From now on nothing passes on the connections that are open, and none of them is closed. */
  void loseOpenConnections() {
    lost.forEach(flag -> flag.set(true));
  }

  /** From now on it pauses for so long after each piece of up to 4 KB. */
  void slowDown(long millisPerPiece) {
    pauseMillis = millisPerPiece;
  }

  /** From now on nothing is read from the connections that are open. */
  void stopReading() {
    stopped = true;
  }

  void stop() {
    close(server);
    sockets.forEach(LosingRelay::close);
  }

  private void accept() {
    try {
      while (true) {
        Socket near = server.accept();
        Socket far = new Socket(target.getAddress(), target.getPort());
        AtomicBoolean flag = new AtomicBoolean();
        lost.add(flag);
        sockets.add(near);
        sockets.add(far);
        stopped = false;
        Thread.ofVirtual().start(() -> pass(near, far, flag));
        Thread.ofVirtual().start(() -> pass(far, near, flag));
      }
    } catch (IOException e) {
      close(server);
    }
  }

  private void pass(Socket from, Socket to, AtomicBoolean lost) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[4_096];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!lost.get()) {
          out.write(buffer, 0, count);
        }
        Thread.sleep(pauseMillis);
        if (stopped) {
          return;
        }
      }
    } catch (IOException e) {
      close(to);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // A socket of the test that is closed already.
    }
  }
}
