package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * A change that was tried by somebody who does not own the document.
 *
 * @param service the service
 * @param author who tried
 * @param attemptedMillis when, by the clock of the entry that refused it
 */
public record RefusedAttempt(ServiceName service, Principal author, long attemptedMillis) {}
