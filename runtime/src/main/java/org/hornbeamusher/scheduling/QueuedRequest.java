package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/**
 * One attempt at a request, as an agent queues it.
 *
 * @param ticket identifies the attempt at this agent; never reused
 * @param adapter the adapter it runs on; empty for a service without adapters
 * @param partner the partner that pays for the capacity
 * @param service the service
 * @param caller the caller that sent it
 * @param costTokens expected work: prompt and output tokens together
 * @param arrivedMillis when it reached the agent
 * @param deadlineMillis the time after which its response is useless
 * @param weights the service's weights
 * @param serviceShare weight of the service within its partner's share
 * @param callerWeight weight of the caller within the service's share
 * @param queueLimit maximum number of requests of the service queued at this agent
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
    CostWeights weights,
    int serviceShare,
    int callerWeight,
    int queueLimit) {}
