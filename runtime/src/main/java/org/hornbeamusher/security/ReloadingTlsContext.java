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
 * A TLS context that reloads its keys and trusted certificates while the process runs.
 *
 * <p>Certificates between processes are short-lived, and a restart for each new one would
 * disconnect callers. There is one {@link SSLContext} for the lifetime of the process, whose
 * managers delegate each call to the current keys. A new context for each change would not work: a
 * listening socket keeps the context with which it was created.
 *
 * <p>Files that cannot be read, or that do not match each other (a key that was replaced before its
 * certificate), change nothing: the old keys remain in use, an event is logged, and the next reload
 * tries again. Each change invalidates the cached sessions. A ticket that a peer still has may
 * resume a session of the old keys for at most {@link #RESUMPTION_SECONDS}; open connections stay
 * open.
 */
public final class ReloadingTlsContext {

  /**
   * Greatest time, in seconds, for which a certificate that is no longer trusted can resume a
   * session.
   */
  static final int RESUMPTION_SECONDS = 60;

  private static final char[] NO_PASSWORD = new char[0];
  private static final String ALIAS = "own";

  private final Path certificate;
  private final Path key;
  private final Optional<Path> trusted;
  private final ReloadableKeyManager keys = new ReloadableKeyManager();
  private final ReloadableTrustManager trust = new ReloadableTrustManager();
  private final SSLContext context;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("tls-reload").factory());
  private PemFiles currentFiles;

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
   * Creates a context and reads the files for the first time.
   *
   * @param certificate PEM, own certificate first
   * @param key PEM, PKCS #8, not encrypted
   * @param trusted PEM, the certificates that may sign a peer's certificate; empty for the default
   *     ones of the JVM
   * @return a context that is ready for use
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
   * Returns the context; it is the same object for the lifetime of the process.
   *
   * @return a context for sockets and listeners
   */
  public SSLContext context() {
    return context;
  }

  /**
   * Starts reloading the files periodically.
   *
   * @param intervalMillis the delay between two reloads
   */
  public void start(long intervalMillis) {
    timer.scheduleWithFixedDelay(
        this::reload, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Stops the periodic reload. */
  public void stop() {
    timer.shutdownNow();
  }

  /**
   * Reloads the files now.
   *
   * @return whether the keys or certificates have changed
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
    if (read.equals(currentFiles)) {
      return false;
    }
    read.requireMatchingKey();
    X509ExtendedKeyManager newKeys = keyManager(read);
    X509ExtendedTrustManager newTrust = trustManager(read);
    keys.setDelegate(newKeys);
    trust.setDelegate(newTrust);
    currentFiles = read;
    invalidateAll(context.getClientSessionContext());
    invalidateAll(context.getServerSessionContext());
    return true;
  }

  /**
   * Invalidates all sessions. A resumed session presents the certificate it began with, so new keys
   * would remain unused.
   */
  private static void invalidateAll(SSLSessionContext sessions) {
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
