package org.hornbeamusher.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Files with keys and certificates in PEM format. They are reloaded while the process runs.
 *
 * @param certificate file with the certificate chain, own certificate first
 * @param key file with the private key in PKCS #8 format, not encrypted
 * @param trusted file with the CA certificates for peers; empty when peers present no certificates
 */
public record TlsSettings(Path certificate, Path key, Optional<Path> trusted) {}
