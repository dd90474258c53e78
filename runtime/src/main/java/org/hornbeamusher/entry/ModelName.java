package org.hornbeamusher.entry;

import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.InvalidIdentifierException;
import org.hornbeamusher.ids.ServiceName;

/** Resolves a caller's model name to an adapter and a version. */
final class ModelName {

  private ModelName() {}

  /** Returns the service part of {@code service/adapter@version}. */
  static ServiceName service(String model) {
    int slash = model.indexOf('/');
    if (slash < 0) {
      throw unknown(model);
    }
    try {
      return new ServiceName(model.substring(0, slash));
    } catch (InvalidIdentifierException e) {
      throw unknown(model).causedBy(e);
    }
  }

  /** Returns the adapter; a name without a version means the current version in the document. */
  static AdapterRef resolve(String model, ServiceDocument document) {
    if (!(document.kind() instanceof ServiceDocument.ServiceKind.Model kind)) {
      throw unknown(model);
    }
    String rest = model.substring(model.indexOf('/') + 1);
    int at = rest.indexOf('@');
    try {
      AdapterName name = new AdapterName(at < 0 ? rest : rest.substring(0, at));
      ServiceDocument.AdapterDeclaration adapter = kind.adapters().get(name);
      if (adapter == null) {
        throw unknown(model);
      }
      AdapterRef ref =
          at < 0
              ? new AdapterRef(document.service(), name, adapter.current())
              : AdapterRef.parse(model);
      if (!adapter.versions().contains(ref.version())) {
        throw unknown(model);
      }
      return ref;
    } catch (InvalidIdentifierException e) {
      throw unknown(model).causedBy(e);
    }
  }

  private static HornbeamusherException unknown(String model) {
    return HornbeamusherException.notRun(FailureType.UNKNOWN_MODEL, model);
  }
}
