package org.hornbeamusher.wire;

import java.util.List;
import java.util.Map;

/**
 * What entries and agents say to each other.
 *
 * <p>A message travels as a MessagePack array: its type number, then its fields in order. A
 * receiver skips fields it does not know and takes the default (zero, empty) for fields that an
 * older sender left out, so that both directions of a rolling upgrade work; a type number it does
 * not know becomes {@link Unknown} and is ignored.
 */
public sealed interface Message {

  /**
   * The first message in both directions.
   *
   * @param lowestProtocol the oldest protocol the sender speaks
   * @param highestProtocol the newest protocol the sender speaks
   * @param role {@code entry} or {@code agent}
   * @param instance the sender's instance id
   * @param incarnation tells the sender from an earlier process at its address
   * @param zone the sender's availability zone
   * @param endpoint an agent's endpoint, empty from an entry
   * @param pool an agent's pool, empty from an entry
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
   * Run this attempt (entry to agent).
   *
   * @param attempt identifies it on this connection
   * @param requestId the caller's request
   * @param method HTTP method of the endpoint's request
   * @param path its path and query
   * @param contentType its content type
   * @param body its content
   * @param adapter {@code service/adapter@version}, empty for a plain service
   * @param partner the partner
   * @param service the service
   * @param caller the caller
   * @param costTokens expected work
   * @param deadlineMillis when the answer is worthless, milliseconds since the epoch
   * @param expiresMillis an attempt not started by then is dropped
   * @param loadStallWeight the service's weight of load stalls
   * @param batchWeight the service's weight of batch efficiency
   * @param serviceShare the service's part of its partner's share
   * @param callerWeight the caller's part of the service's share
   * @param queueLimit most requests of the service that may wait
   * @param idempotencyKey the caller's key, empty for a repeatable request
   * @param creditBytes how many bytes of answer may be sent before more credit comes
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
   * The endpoint has been given the attempt (agent to entry). From here on it may have run.
   *
   * @param attempt the attempt
   * @param loadStallMillis how long it waited for a load
   */
  record Started(long attempt, long loadStallMillis) implements Message {}

  /**
   * The head of the endpoint's answer (agent to entry).
   *
   * @param attempt the attempt
   * @param status the endpoint's HTTP status
   * @param contentType the answer's content type
   */
  record Head(long attempt, int status, String contentType) implements Message {}

  /**
   * A part of the answer (agent to entry).
   *
   * @param attempt the attempt
   * @param sequence counts the parts from 0
   * @param bytes the part
   */
  record Chunk(long attempt, long sequence, byte[] bytes) implements Message {}

  /**
   * The answer is whole (agent to entry).
   *
   * @param attempt the attempt
   * @param chunks how many parts there were
   * @param checksum CRC-32C over all parts
   */
  record ResponseEnd(long attempt, long chunks, long checksum) implements Message {}

  /**
   * The attempt ended without a whole answer (agent to entry).
   *
   * @param attempt the attempt
   * @param failureNumber the failure's number in the catalogue
   * @param outcome {@code not-run}, {@code ran} or {@code unknown}
   * @param retryAfterMillis when to try again, or -1
   * @param detail fills the failure's message
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
   * The caller no longer wants the attempt (entry to agent).
   *
   * @param attempt the attempt
   */
  record Cancel(long attempt) implements Message {}

  /**
   * More of the answer may be sent (entry to agent).
   *
   * @param attempt the attempt
   * @param bytes how much more
   */
  record Credit(long attempt, long bytes) implements Message {}

  /**
   * The sender lives (both ways).
   *
   * @param sequence counts the sender's heartbeats on this connection
   * @param documentDigest the sender's digest of documents, for spreading
   */
  record Heartbeat(long sequence, long documentDigest) implements Message {}

  /**
   * What an agent's endpoint holds and does (agent to entry).
   *
   * @param running requests in the batch
   * @param queued requests that wait
   * @param batchCapacity most requests it runs at once
   * @param adapterCapacity most adapters it holds
   * @param queueWaitMillis expected wait with a resident adapter
   * @param loadWaitMillis expected wait for a load
   * @param resident the adapters it holds, {@code service/adapter@version}
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
   * The agent takes no new work (agent to entry), or the entry no more callers (entry to agent).
   */
  record Leaving() implements Message {}

  /**
   * The versions the sender holds (both ways).
   *
   * @param versions the version by service
   */
  record DocumentDigest(Map<String, Long> versions) implements Message {}

  /**
   * Asks for a document, or for a digest (both ways).
   *
   * @param service the service; empty asks for the digest
   * @param haveVersion the version the sender holds, 0 for none
   */
  record DocumentPull(String service, long haveVersion) implements Message {}

  /**
   * What the sender has of a document beyond what was asked for (both ways).
   *
   * @param service the service
   * @param content the update as {@code DocumentCodec} writes it
   */
  record DocumentPush(String service, byte[] content) implements Message {}

  /**
   * An agent asks for a turn at the weight store (agent to agent).
   *
   * @param store the weight store
   * @param endpoint who asks
   * @param partner for whom
   * @param demand weighted waiting demand; 0 withdraws
   */
  record PermitRequest(String store, String endpoint, String partner, double demand)
      implements Message {}

  /**
   * A turn at the weight store (agent to agent).
   *
   * @param store the weight store
   * @param grantId identifies the turn
   * @param expiresMillis when the turn ends by itself
   */
  record PermitGrant(String store, long grantId, long expiresMillis) implements Message {}

  /**
   * The turn is over (agent to agent).
   *
   * @param store the weight store
   * @param grantId the turn
   */
  record PermitRelease(String store, long grantId) implements Message {}

  /**
   * Endpoints crashed while they ran this request (both ways).
   *
   * @param fingerprint identifies the request's content
   * @param crashes how many endpoints crashed
   */
  record CrashNotice(long fingerprint, int crashes) implements Message {}

  /**
   * A request is at the agent's endpoint, or wants an adapter to be loaded there (entry to agent).
   *
   * @param reservation counts the entry's reservations on this connection
   * @param requestId the caller's request
   * @param adapter {@code model/adapter}, or the model alone
   * @param version the adapter's version
   * @param rank the request's urgency, 0 first
   * @param pendingPromptTokens how much of its prompt has to be read
   * @param maxWaitMillis for how long a place is of use
   * @param firstEventTargetMillis how soon its first event should come; negative when it is late
   *     already
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
   * The adapter of a reservation can be used (agent to entry).
   *
   * @param reservation the reservation
   */
  record ReservationGranted(long reservation) implements Message {}

  /**
   * The endpoint has read the prompt of a request (entry to agent).
   *
   * @param reservation the reservation
   */
  record PromptProcessed(long reservation) implements Message {}

  /**
   * A request has ended or is not wanted any more (entry to agent).
   *
   * @param reservation the reservation
   */
  record ReservationRelease(long reservation) implements Message {}

  /**
   * What an agent's endpoint holds; sent when it changes (agent to entry).
   *
   * @param endpoint the endpoint's id; empty while it is down
   * @param resident what can be used, {@code model/adapter@version}
   * @param loading what is on its way
   * @param entryCount how many entries there are, by what the agent knows
   * @param leaving whether the endpoint takes no new work
   * @param startMillis when this life of the endpoint started; 0 when that is not known
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
   * What other entries have at the agent's endpoint (agent to entry).
   *
   * @param requests running or waiting
   * @param pendingPromptTokens of their prompts
   * @param spareSlots places for adapters that a load could have at once, less those that wait for
   *     one; negative when adapters wait for a place
   */
  record PeerLoad(int requests, long pendingPromptTokens, int spareSlots) implements Message {}

  /**
   * What it costs to have an adapter at the agent's engine, as far as the agent has learnt (agent
   * to entry).
   *
   * @param storeLoadMillis a load from the weight store
   * @param cachedLoadMillis a load of which the engine has a copy
   * @param slotWaitMillis until a place is free for the next adapter that waits for one
   * @param cachedAdapters adapters outside its places that the engine has copies of
   */
  record EngineCosts(
      long storeLoadMillis, long cachedLoadMillis, long slotWaitMillis, int cachedAdapters)
      implements Message {}

  /**
   * What an entry has admitted of client accounts' quotas (entry to agent).
   *
   * @param increments units by account since the last report on this connection; negative for
   *     requests that did not run after all
   */
  record UsageReport(Map<String, Long> increments) implements Message {}

  /**
   * What the other entries have admitted of client accounts' quotas (agent to entry).
   *
   * @param increments units by account since the last update on this connection
   * @param reachableEntryCount entries that report to the agent, the receiver included
   * @param entryCount entries that are connected to the agent
   */
  record UsageUpdate(Map<String, Long> increments, int reachableEntryCount, int entryCount)
      implements Message {}

  /**
   * Asks whether a request may be sent to an endpoint that limits the rate of its requests (entry
   * to agent).
   *
   * @param requestNumber counts the entry's questions
   * @param endpoint the endpoint's id
   * @param perSecond the limit that the endpoint stated to the entry
   * @param advertisedAgoMillis how long ago it did
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
   * Whether a request may be sent to an endpoint that limits the rate of its requests (agent to
   * entry).
   *
   * @param requestNumber the entry's question
   * @param granted whether it may
   * @param waitMillis after how long; or when the next permit is free
   */
  record RatePermitResponse(long requestNumber, boolean granted, long waitMillis)
      implements Message {}

  /**
   * An endpoint that limited the rate of its requests states no limit any more (entry to agent).
   *
   * @param endpoint the endpoint's id
   * @param sentAgoMillis how long ago the request was sent whose answer showed it
   */
  record RateLimitLifted(String endpoint, long sentAgoMillis) implements Message {}

  /**
   * A message of a type this process does not know; it is ignored.
   *
   * @param type the type number
   */
  record Unknown(int type) implements Message {}
}
