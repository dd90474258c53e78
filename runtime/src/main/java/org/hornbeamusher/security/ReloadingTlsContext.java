package org.hornbeamusher.security;

import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Collections;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSession;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * A TLS context whose keys and trusted certificates are read again while the process runs.
 *
 * <p>Certificates between processes are short-lived, and a process that had to restart for each new
 * one would cut off its callers. There is one {@link SSLContext} for the life of the process, whose
 * managers pass each call on to the keys in force. Making a new context for each change would not
 * do: a listening socket keeps the context that it was made with.
 *
 * <p>Files that cannot be read, or that do not fit each other (a key that was replaced before its
 * certificate), change nothing: the old keys stay in force, an event is logged, and the next round
 * tries again. Sessions are forgotten at each change. A ticket that a peer still holds may resume
 * what was agreed under the old keys for {@link #RESUMPTION_SECONDS} at most; connections that are
 * open stay open.
 */
public final class ReloadingTlsContext {

  /** Bounds how long a certificate that is no longer trusted can resume a session. */
  static final int RESUMPTION_SECONDS = 60;

  private static final char[] NO_PASSWORD = new char[0];
  private static final String ALIAS = "own";

  private final Path certificate;
  private final Path key;
  private final Optional<Path> trusted;
  private final SwitchingKeyManager keys = new SwitchingKeyManager();
  private final SwitchingTrustManager trust = new SwitchingTrustManager();
  private final SSLContext context;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("tls-reload").factory());
  private PemFiles inForce;

  private ReloadingTlsContext(Path certificate, Path key, Optional<Path> trusted) {
    this.certificate = certificate;
    this.key = key;
    this.trusted = trusted;
    try {
      this.context = SSLContext.getInstance("TLSv1.3");
      context.init(new KeyManager[] {keys}, new TrustManager[] {trust}, null);
    } catch (GeneralSecurityException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, e).causedBy(e);
    }
    context.getServerSessionContext().setSessionTimeout(RESUMPTION_SECONDS);
    context.getClientSessionContext().setSessionTimeout(RESUMPTION_SECONDS);
  }

  /**
   * Reads the files for the first time.
   *
   * @param certificate PEM, own certificate first
   * @param key PEM, PKCS #8, not encrypted
   * @param trusted PEM, who may sign a peer's certificate; empty for the platform's usual ones
   * @return a context in force
   * @throws HornbeamusherException {@code SETTINGS_INVALID} when a file cannot be used
   */
  public static ReloadingTlsContext open(Path certificate, Path key, Optional<Path> trusted) {
    ReloadingTlsContext opened = new ReloadingTlsContext(certificate, key, trusted);
    try {
      opened.load();
    } catch (GeneralSecurityException | java.io.IOException e) {
      throw HornbeamusherException.notRun(
              FailureType.SETTINGS_INVALID, "TLS files: " + e.getMessage())
          .causedBy(e);
    }
    return opened;
  }

  /**
   * Returns the context; it is the same object for the life of the process.
   *
   * @return a context for sockets and listeners
   */
  public SSLContext context() {
    return context;
  }

  /**
   * Starts reading the files again and again.
   *
   * @param intervalMillis how often
   */
  public void start(long intervalMillis) {
    timer.scheduleWithFixedDelay(
        this::reload, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Stops reading the files. */
  public void stop() {
    timer.shutdownNow();
  }

  /**
   * Reads the files now.
   *
   * @return whether other keys or certificates are in force than before
   */
  public synchronized boolean reload() {
    try {
      boolean changed = load();
      if (changed) {
        EventLog.log(EventType.TLS_KEYS_REPLACED, "certificate", certificate);
      }
      return changed;
    } catch (GeneralSecurityException | java.io.IOException e) {
      EventLog.log(EventType.TLS_KEYS_UNREADABLE, "certificate", certificate, "cause", e);
      return false;
    }
  }

  private synchronized boolean load() throws GeneralSecurityException, java.io.IOException {
    PemFiles read = PemFiles.read(certificate, key, trusted);
    if (read.equals(inForce)) {
      return false;
    }
    read.requireFit();
    X509ExtendedKeyManager newKeys = keyManager(read);
    X509ExtendedTrustManager newTrust = trustManager(read);
    keys.use(newKeys);
    trust.use(newTrust);
    inForce = read;
    forget(context.getClientSessionContext());
    forget(context.getServerSessionContext());
    return true;
  }

  /**
   * A session that is resumed shows the certificate it began with, so new keys would stay unused.
   */
  private static void forget(SSLSessionContext sessions) {
    for (byte[] id : Collections.list(sessions.getIds())) {
      SSLSession session = sessions.getSession(id);
      if (session != null) {
        session.invalidate();
      }
    }
  }

  private static X509ExtendedKeyManager keyManager(PemFiles files)
      throws GeneralSecurityException, java.io.IOException {
    KeyStore store = emptyStore();
    store.setKeyEntry(ALIAS, files.privateKey(), NO_PASSWORD, files.chain());
    KeyManagerFactory factory =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    factory.init(store, NO_PASSWORD);
    return (X509ExtendedKeyManager) factory.getKeyManagers()[0];
  }

  private static X509ExtendedTrustManager trustManager(PemFiles files)
      throws GeneralSecurityException, java.io.IOException {
    KeyStore store = null;
    if (files.trusted().isPresent()) {
      store = emptyStore();
      int number = 0;
      for (var trustedCertificate : files.trustedCertificates()) {
        store.setCertificateEntry("trusted-" + number++, trustedCertificate);
      }
    }
    TrustManagerFactory factory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    factory.init(store);
    return (X509ExtendedTrustManager) factory.getTrustManagers()[0];
  }

  private static KeyStore emptyStore() throws GeneralSecurityException, java.io.IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, null);
    return store;
  }
}
