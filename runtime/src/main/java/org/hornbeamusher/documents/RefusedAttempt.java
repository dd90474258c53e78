package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * A change that was refused because its author does not own the document.
 *
 * @param service the service
 * @param author who submitted it
 * @param attemptedMillis time of the attempt, by the clock of the entry that refused it
 */
public record RefusedAttempt(ServiceName service, Principal author, long attemptedMillis) {}
