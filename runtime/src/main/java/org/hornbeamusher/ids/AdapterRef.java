package org.hornbeamusher.ids;

/**
 * One version of one adapter of a service, as requests name it and endpoints load it.
 *
 * <p>The text form is {@code service/adapter@version}.
 *
 * @param service the service that owns the adapter
 * @param adapter the adapter
 * @param version its version, from 1
 */
public record AdapterRef(ServiceName service, AdapterName adapter, int version)
    implements Comparable<AdapterRef> {

  /** Rejects a version below 1. */
  public AdapterRef {
    if (version < 1) {
      throw new InvalidIdentifierException("AdapterRef", service + "/" + adapter + "@" + version);
    }
  }

  /**
   * Parses the text form.
   *
   * @param text {@code service/adapter@version}
   * @return the adapter version
   * @throws InvalidIdentifierException when the text has another form
   */
  public static AdapterRef parse(String text) {
    int slash = text.indexOf('/');
    int at = text.lastIndexOf('@');
    if (slash < 0 || at < slash) {
      throw new InvalidIdentifierException("AdapterRef", text);
    }
    return new AdapterRef(
        new ServiceName(text.substring(0, slash)),
        new AdapterName(text.substring(slash + 1, at)),
        parseVersion(text, text.substring(at + 1)));
  }

  private static int parseVersion(String text, String digits) {
    try {
      return Integer.parseInt(digits);
    } catch (NumberFormatException e) {
      throw new InvalidIdentifierException("AdapterRef", text);
    }
  }

  @Override
  public int compareTo(AdapterRef other) {
    int byService = service.compareTo(other.service);
    if (byService != 0) {
      return byService;
    }
    int byAdapter = adapter.compareTo(other.adapter);
    return byAdapter != 0 ? byAdapter : Integer.compare(version, other.version);
  }

  @Override
  public String toString() {
    return service + "/" + adapter + "@" + version;
  }
}
