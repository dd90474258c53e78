package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.quarantine.PathContent;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.RequestContent;

/**
 * What a request has in common with others that may crash endpoints; computed when first needed.
 */
final class RequestSuspects {

  private final CallerRequest request;
  private final Optional<AccountName> account;
  private final List<PromptPart> prompt;
  private RequestContent content;
  private PathContent pathContent;
  private List<PromptPartId> parts;

  /**
   * Creates the suspects of a request.
   *
   * @param request the request
   * @param account its client account; empty for an anonymous caller
   * @param prompt the parts of its prompt in order
   */
  RequestSuspects(CallerRequest request, Optional<AccountName> account, List<PromptPart> prompt) {
    this.request = request;
    this.account = account;
    this.prompt = prompt;
  }

  int bodyBytes() {
    return request.body().length;
  }

  RequestContent content() {
    if (content == null) {
      content = request.content(account);
    }
    return content;
  }

  PathContent pathContent() {
    if (pathContent == null) {
      pathContent =
          PathContent.of(request.decodedPath(), account.map(AccountName::value), request.body());
    }
    return pathContent;
  }

  /** Returns the parts of the prompt without the last, which no other request or session has. */
  List<PromptPartId> parts() {
    if (parts == null) {
      parts =
          prompt.stream()
              .limit(Math.max(0, prompt.size() - 1))
              .map(part -> PromptPartId.of(part.id()))
              .distinct()
              .toList();
    }
    return parts;
  }
}
