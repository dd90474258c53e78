package org.hornbeamusher.wire;

import java.util.List;
import java.util.Map;
import org.hornbeamusher.quota.UsageAtStep;

/**
 * The messages between entries and agents.
 *
 * <p>A message is encoded as a MessagePack array of its type number and its fields in order. A
 * receiver skips fields it does not know and uses the default (zero, empty) for fields that an
 * older sender omits, so that old and new releases work together in both directions during a
 * rolling upgrade. A type number it does not know is decoded as {@link Unknown} and ignored.
 */
public sealed interface Message {

  /**
   * The first message in both directions.
   *
   * @param lowestProtocol the oldest protocol version that the sender supports
   * @param highestProtocol the newest protocol version that the sender supports
   * @param role {@code entry} or {@code agent}
   * @param instance the sender's instance id
   * @param incarnation distinguishes the sender from an earlier process at its address
   * @param zone the sender's availability zone
   * @param endpoint the endpoint of an agent; empty from an entry
   * @param pool the pool of an agent; empty from an entry
   */
  record Hello(
      int lowestProtocol,
      int highestProtocol,
      String role,
      String instance,
      long incarnation,
      String zone,
      String endpoint,
      String pool)
      implements Message {}

  /**
   * Asks the agent to run an attempt (entry to agent).
   *
   * @param attempt identifies the attempt on this connection
   * @param requestId the id of the caller's request
   * @param method the HTTP method of the request to the endpoint
   * @param path its path and query
   * @param contentType its content type
   * @param body its body
   * @param adapter {@code service/adapter@version}, empty for a plain service
   * @param partner the partner
   * @param service the service
   * @param caller the caller
   * @param costTokens the expected work in tokens
   * @param deadlineMillis the time after which the response is useless, milliseconds since the
   *     epoch
   * @param expiresMillis the time after which an attempt that has not started is discarded
   * @param loadStallWeight the service's weight of load stalls
   * @param batchWeight the service's weight of batch efficiency
   * @param serviceShare the service's part of its partner's share
   * @param callerWeight the caller's part of the service's share
   * @param queueLimit the maximum number of queued requests of the service
   * @param idempotencyKey the caller's key; empty for a repeatable request
   * @param creditBytes the number of response bytes that may be sent before more credit is received
   */
  record Dispatch(
      long attempt,
      String requestId,
      String method,
      String path,
      String contentType,
      byte[] body,
      String adapter,
      String partner,
      String service,
      String caller,
      int costTokens,
      long deadlineMillis,
      long expiresMillis,
      double loadStallWeight,
      double batchWeight,
      int serviceShare,
      int callerWeight,
      int queueLimit,
      String idempotencyKey,
      long creditBytes)
      implements Message {}

  /**
   * The attempt is sent to the endpoint (agent to entry). From then on it may have run.
   *
   * @param attempt the attempt
   * @param loadStallMillis how long the attempt waited for an adapter load
   */
  record Started(long attempt, long loadStallMillis) implements Message {}

  /**
   * The head of the endpoint's response (agent to entry).
   *
   * @param attempt the attempt
   * @param status the endpoint's HTTP status
   * @param contentType the content type of the response
   */
  record Head(long attempt, int status, String contentType) implements Message {}

  /**
   * A part of the response body (agent to entry).
   *
   * @param attempt the attempt
   * @param sequence counts the parts from 0
   * @param bytes the part
   */
  record Chunk(long attempt, long sequence, byte[] bytes) implements Message {}

  /**
   * The response is complete (agent to entry).
   *
   * @param attempt the attempt
   * @param chunks the number of parts
   * @param checksum CRC-32C over all parts
   */
  record ResponseEnd(long attempt, long chunks, long checksum) implements Message {}

  /**
   * The attempt ended without a complete response (agent to entry).
   *
   * @param attempt the attempt
   * @param failureNumber the failure's number in the catalogue
   * @param outcome {@code not-run}, {@code ran} or {@code unknown}
   * @param retryAfterMillis the delay before a retry, or -1
   * @param detail the detail in the failure's message
   * @param crashed whether the endpoint crashed while it ran the attempt
   */
  record Failed(
      long attempt,
      int failureNumber,
      String outcome,
      long retryAfterMillis,
      String detail,
      boolean crashed)
      implements Message {}

  /**
   * Cancels an attempt (entry to agent).
   *
   * @param attempt the attempt
   */
  record Cancel(long attempt) implements Message {}

  /**
   * Permits the agent to send more of the response (entry to agent).
   *
   * @param attempt the attempt
   * @param bytes the number of further bytes
   */
  record Credit(long attempt, long bytes) implements Message {}

  /**
   * Shows that the sender is alive (both directions).
   *
   * @param sequence counts the sender's heartbeats on this connection
   * @param documentDigest the sender's digest of documents, by which its peers detect newer
   *     versions
   */
  record Heartbeat(long sequence, long documentDigest) implements Message {}

  /**
   * The load of an agent's endpoint and its resident adapters (agent to entry).
   *
   * @param running the number of requests in the batch
   * @param queued the number of queued requests
   * @param batchCapacity the maximum number of requests in the batch
   * @param adapterCapacity the maximum number of resident adapters
   * @param queueWaitMillis the expected wait of a request whose adapter is resident
   * @param loadWaitMillis the expected wait for an adapter load
   * @param resident the resident adapters, {@code service/adapter@version}
   */
  record LoadReport(
      int running,
      int queued,
      int batchCapacity,
      int adapterCapacity,
      long queueWaitMillis,
      long loadWaitMillis,
      List<String> resident)
      implements Message {}

  /**
   * The agent accepts no new requests (agent to entry), or the entry accepts no more callers (entry
   * to agent).
   */
  record Leaving() implements Message {}

  /**
   * The versions of the sender's documents (both directions).
   *
   * @param versions the versions by service
   */
  record DocumentDigest(Map<String, Long> versions) implements Message {}

  /**
   * Requests a document or the digest (both directions).
   *
   * @param service the service; empty to request the digest
   * @param haveVersion the sender's version; 0 for none
   */
  record DocumentPull(String service, long haveVersion) implements Message {}

  /**
   * The response to a {@link DocumentPull} for one document (both directions).
   *
   * @param service the service
   * @param content the update as encoded by {@code DocumentCodec}
   */
  record DocumentPush(String service, byte[] content) implements Message {}

  /**
   * Requests a permit to load from the weight store (agent to agent).
   *
   * @param store the weight store
   * @param endpoint the endpoint that requests the permit
   * @param partner the partner for which the adapter is loaded
   * @param demand the weighted demand of the queued requests; 0 withdraws the permit request
   */
  record PermitRequest(String store, String endpoint, String partner, double demand)
      implements Message {}

  /**
   * Grants a permit to load from the weight store (agent to agent).
   *
   * @param store the weight store
   * @param grantId identifies the permit
   * @param expiresMillis the time at which the permit expires
   */
  record PermitGrant(String store, long grantId, long expiresMillis) implements Message {}

  /**
   * Releases a permit (agent to agent).
   *
   * @param store the weight store
   * @param grantId the permit
   */
  record PermitRelease(String store, long grantId) implements Message {}

  /**
   * Reports that endpoints crashed while they ran a request (both directions).
   *
   * @param fingerprint identifies the content of the request
   * @param crashes the number of endpoints that crashed
   */
  record CrashNotice(long fingerprint, int crashes) implements Message {}

  /**
   * Reports the crashes of endpoints that ran requests of one content (both directions).
   *
   * @param record the record as encoded by {@code CrashRecordCodec}
   */
  record CrashReport(byte[] record) implements Message {}

  /**
   * Reports that a request lost its connection to an endpoint, which may have crashed (both
   * directions).
   *
   * @param endpoint the id of the endpoint
   * @param startMillis the start of its incarnation
   * @param suspects what the request has in common with others, as {@code CrashSuspect} writes it
   * @param sentMillis when the request was sent, in milliseconds by the service clock
   * @param runningMillis when the endpoint was last known to run, in milliseconds by the service
   *     clock
   * @param lostMillis when the connection was lost, in milliseconds by the service clock; 0 from a
   *     sender that does not state it
   */
  record ConnectionLoss(
      String endpoint,
      long startMillis,
      List<String> suspects,
      long sentMillis,
      long runningMillis,
      long lostMillis)
      implements Message {

    /** Copies the list. */
    public ConnectionLoss {
      suspects = List.copyOf(suspects);
    }

    /**
     * Creates a loss without times, as releases before them send it.
     *
     * @param endpoint the id of the endpoint
     * @param startMillis the start of its incarnation
     * @param suspects what the request has in common with others
     */
    public ConnectionLoss(String endpoint, long startMillis, List<String> suspects) {
      this(endpoint, startMillis, suspects, 0, 0, 0);
    }
  }

  /**
   * Reports where a stream began (entry to agent).
   *
   * @param requestId the id of the try that brought its first event
   * @param endpoint the id of the endpoint
   * @param software the version of the endpoint's software; empty if it states none
   * @param softwareKnown whether the version is known
   * @param startMillis the start of the endpoint's incarnation; 0 if it is not known
   */
  record StreamBegun(
      String requestId, String endpoint, String software, boolean softwareKnown, long startMillis)
      implements Message {}

  /**
   * Requests the origin of a stream (entry to agent).
   *
   * @param requestNumber the number of the request, counted by the entry
   * @param requestId the id of the try that brought its first event
   */
  record StreamOriginRequest(long requestNumber, String requestId) implements Message {}

  /**
   * The response to a {@link StreamOriginRequest} (agent to entry).
   *
   * @param requestNumber the number of the request
   * @param endpoint the id of the endpoint; empty if the agent does not know
   * @param software the version of the endpoint's software; empty if it states none
   * @param softwareKnown whether the version is known
   * @param startMillis the start of the endpoint's incarnation; 0 if it is not known
   */
  record StreamOriginResponse(
      long requestNumber, String endpoint, String software, boolean softwareKnown, long startMillis)
      implements Message {}

  /**
   * Reports a request that is sent to the agent's endpoint, or that needs an adapter to be loaded
   * there first (entry to agent).
   *
   * @param reservation the number of the reservation, counted by the entry on this connection
   * @param requestId the id of the caller's request
   * @param adapter {@code model/adapter}, or the model alone
   * @param version the adapter's version
   * @param rank the priority of the request; 0 is the highest
   * @param pendingPromptTokens the tokens of its prompt that have to be processed
   * @param maxWaitMillis for how long the request can wait for an adapter slot
   * @param firstEventTargetMillis the time until its first event is due; negative when that is
   *     overdue
   */
  record Reserve(
      long reservation,
      String requestId,
      String adapter,
      long version,
      int rank,
      long pendingPromptTokens,
      long maxWaitMillis,
      long firstEventTargetMillis)
      implements Message {}

  /**
   * The adapter of a reservation is ready (agent to entry).
   *
   * @param reservation the reservation
   */
  record ReservationGranted(long reservation) implements Message {}

  /**
   * The endpoint has processed the prompt of a request (entry to agent).
   *
   * @param reservation the reservation
   */
  record PromptProcessed(long reservation) implements Message {}

  /**
   * Releases a reservation because its request has ended or was cancelled (entry to agent).
   *
   * @param reservation the reservation
   */
  record ReservationRelease(long reservation) implements Message {}

  /**
   * The models and adapters of an agent's endpoint; sent when they change (agent to entry).
   *
   * @param endpoint the id of the endpoint; empty while it is down
   * @param resident those that are ready, {@code model/adapter@version}
   * @param loading those that are being loaded
   * @param entryCount the number of entries that the agent knows of
   * @param leaving whether the endpoint accepts no new requests
   * @param startMillis the start of this incarnation of the endpoint; 0 when unknown
   */
  record Holdings(
      String endpoint,
      List<String> resident,
      List<String> loading,
      int entryCount,
      boolean leaving,
      long startMillis)
      implements Message {}

  /**
   * The load of the agent's endpoint by other entries (agent to entry).
   *
   * @param requests the number of running or waiting requests
   * @param pendingPromptTokens the tokens of their prompts that are not processed yet
   * @param spareSlots the adapter slots that are available for loads at once, minus the adapters
   *     that wait for a slot; negative when more adapters wait
   * @param waitingAdapters the adapters that cannot be loaded until a request ends
   */
  record PeerLoad(int requests, long pendingPromptTokens, int spareSlots, int waitingAdapters)
      implements Message {}

  /**
   * The costs of loading an adapter at the agent's engine, as estimated from the loads so far
   * (agent to entry).
   *
   * @param storeLoadMillis the time of a load from the weight store
   * @param cachedLoadMillis the time of a load from the engine's cache of adapter copies
   * @param slotWaitMillis the time until a slot is free for the next adapter that waits for one
   * @param cachedAdapters the number of evicted adapters that the engine still has cached
   */
  record EngineCosts(
      long storeLoadMillis, long cachedLoadMillis, long slotWaitMillis, int cachedAdapters)
      implements Message {}

  /**
   * The usage of client accounts at the entry, of their quotas and of shared capacity (entry to
   * agent).
   *
   * @param windowMillis for how long usage of quotas counts
   * @param sentMillis the entry's time when it sent the report
   * @param usage the steps that have changed since the last report on this connection
   * @param unknownEntries names of entries whose usage the sender may not know; not all if they are
   *     many
   */
  record UsageReport(
      long windowMillis, long sentMillis, List<UsageAtStep> usage, List<String> unknownEntries)
      implements Message {}

  /**
   * The usage of client accounts at the other entries (agent to entry).
   *
   * @param step the agent's current step of time
   * @param usage the steps that have changed since the last update on this connection
   * @param answeredMillis the time of the last report of the entry that the agent had received, by
   *     the entry's clock
   * @param knownMillis for how long the agent has added up usage
   * @param settledMillis for how long no entry has connected to the agent that it did not know
   * @param reachableEntryCount the number of entries that report to the agent, including the
   *     receiver
   * @param entryCount the number of entries that are connected to the agent
   * @param silentEntries the names of entries that do not report to the agent; not all if they are
   *     many
   * @param hidden whether one of the entries that report to the agent may not know the usage of the
   *     receiver
   */
  record UsageUpdate(
      long step,
      List<UsageAtStep> usage,
      long answeredMillis,
      long knownMillis,
      long settledMillis,
      int reachableEntryCount,
      int entryCount,
      List<String> silentEntries,
      boolean hidden)
      implements Message {}

  /**
   * Requests a permit to send a request to an endpoint that advertises a rate limit (entry to
   * agent).
   *
   * @param requestNumber the number of the permit request, counted by the entry
   * @param endpoint the id of the endpoint
   * @param perSecond the rate limit that the endpoint advertised to the entry
   * @param advertisedAgoMillis the time since it advertised the limit
   * @param maxWaitMillis how long the request can wait
   */
  record RatePermitRequest(
      long requestNumber,
      String endpoint,
      double perSecond,
      long advertisedAgoMillis,
      long maxWaitMillis)
      implements Message {}

  /**
   * Grants or refuses a permit to send a request to an endpoint that advertises a rate limit (agent
   * to entry).
   *
   * @param requestNumber the number of the permit request
   * @param granted whether the permit is granted
   * @param waitMillis the delay before the request may be sent; if refused, the time until the next
   *     permit is available
   */
  record RatePermitResponse(long requestNumber, boolean granted, long waitMillis)
      implements Message {}

  /**
   * An endpoint no longer advertises a rate limit (entry to agent).
   *
   * @param endpoint the id of the endpoint
   * @param sentAgoMillis the time since the request was sent whose response shows this
   */
  record RateLimitLifted(String endpoint, long sentAgoMillis) implements Message {}

  /**
   * Requests permits for loads from the weight store (agent to the entry that is its coordinator).
   *
   * @param epoch counts the coordinators that the agent has chosen, from 1; permits belong to one
   *     epoch. 0 if the agent has chosen another coordinator
   * @param adapters how many adapters the agent could load at once if it had permits
   * @param onTimeRequests the requests for the first of these adapters that can still meet their
   *     target time
   * @param usedPermits the permits of this epoch that were used or have expired
   * @param loadMillis the duration of a load that has completed since the last request; 0 for none
   * @param concurrencyLimit the limit that the agent received from an earlier coordinator; 0 for
   *     none
   */
  record LoadPermitRequest(
      long epoch,
      int adapters,
      int onTimeRequests,
      long usedPermits,
      long loadMillis,
      int concurrencyLimit)
      implements Message {}

  /**
   * States whether loads from the weight store need permits, and the permits granted to an agent
   * (entry to agent).
   *
   * @param epoch the epoch of the agent's request
   * @param paced whether loads need permits
   * @param grantedPermits the permits granted in this epoch
   * @param waitMillis estimated time until a load that is wanted now begins
   * @param concurrencyLimit how many loads may be in progress over all engines
   */
  record LoadPermitResponse(
      long epoch, boolean paced, long grantedPermits, long waitMillis, int concurrencyLimit)
      implements Message {}

  /**
   * A message of a type that this process does not know; it is ignored.
   *
   * @param type the type number
   */
  record Unknown(int type) implements Message {}
}
