package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument.Weights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/**
 * One attempt as an agent queues it.
 *
 * @param ticket identifies it at this agent; never reused
 * @param adapter what it runs on; empty for a plain service
 * @param partner who pays for the capacity
 * @param service the service
 * @param caller who sent it
 * @param costTokens expected work: prompt and answer together
 * @param arrivedMillis when it reached the agent
 * @param deadlineMillis when its answer is worthless
 * @param weights the service's weights
 * @param serviceShare the service's part of its partner's share
 * @param callerWeight the caller's part of the service's share
 * @param queueLimit most requests of the service that may wait here
 */
public record QueuedRequest(
    long ticket,
    Optional<AdapterRef> adapter,
    PartnerId partner,
    ServiceName service,
    CallerId caller,
    int costTokens,
    long arrivedMillis,
    long deadlineMillis,
    Weights weights,
    int serviceShare,
    int callerWeight,
    int queueLimit) {}
