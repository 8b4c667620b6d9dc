/**
 * Constants shared by all layers.
 */

export const bytesPerKibibyte = 1024;
export const maxPort = 65_535;
/** Maximum delay of a timer, ms; Node.js runs a timer with a longer one at once. */
export const maxTimerMs = 2 ** 31 - 1;
export const maxManifestBytes = 64 * bytesPerKibibyte;
export const maxRoutesPerTeam = 256;
export const maxServicesPerTeam = 128;
export const maxChangesPerMinutePerTeam = 60;
export const submissionRecordsPerTeam = 64;
export const msPerMinute = 60_000;

export const maxCommitsPerEntry = 16;
export const maxEntryBytes = 512 * bytesPerKibibyte;
export const maxPendingSubmissionsPerTeam = 64;
export const maxCommitAttempts = 12;
export const maxReadBackAttempts = 4;
export const maxCachedRefusals = 256;
export const logRingSize = 512;
export const logListLimit = 32;
export const snapshotIntervalEntries = 128;
export const snapshotChunkLength = 256 * bytesPerKibibyte;

export const rootsPerDataCentre = 2;
/** Nodes of its data centre besides the roots that a root polls if the store turns it away; another root asks others. */
export const maxRootFallbacks = 4;
/** Children of a node of median capacity; 3 would need the least link time, 4 saves a hop. */
export const treeFanOut = 4;
/** Maximum number of children of a node: each costs an open call and processor time, however fast the link is. */
export const maxTreeFanOut = 64;
export const pollWaitMs = 2000;
export const pollTimeoutMs = 3000;
export const childExpiryMs = 1500;
export const deliveryTickMs = 200;
export const reportIntervalMs = 100;
export const startProbeIntervalMs = 500;
export const callGraceMs = 500;
export const repairAfterMs = 1000;
export const probeIntervalMs = 2000;
export const requiredHolders = 2;
export const holderExpiryMs = 30_000;
export const settleMs = 3000;
export const maxHeldVersions = 64;
export const maxAnswerBytes = 256 * bytesPerKibibyte;
export const maxNamesPerReport = 4;
export const statusHeartbeatMs = 5000;
export const statusSilentAfterMs = 15_000;
export const watchWaitMs = 10_000;
export const platformTimeoutMs = 3000;
/** Maximum wait of a watch on a document; bounds how long a watch that is no longer answered hides a change from its node. */
export const documentWatchWaitMs = 3000;
/** Maximum wait of a poll for a document; bounds how long a source that does not answer is relied on. */
export const documentPollWaitMs = 800;
/** Maximum wait of a watch on a document if its freshness must be proven; the proof at the end of a watch is as old as the watch. */
export const revocationWatchWaitMs = 1000;
/** Part of the time allowed for a revocation that is kept for errors of the clocks. */
export const revocationMarginMs = 600;
/**
 * Part of the freshness lease above which a node looks for a proof elsewhere. In
 * calm times a proof is up to two watches old; the rest of the lease is enough
 * for a poll that times out at each of two nodes and a call to the store.
 */
export const revocationStaleRatio = 0.6;
/** Part of the freshness lease by which a proof must have become newer for a held poll to be answered with it; with 0.125, proofs four levels below the roots were 0.7 s older. */
export const revocationRenewalRatio = 0.05;
/** Maximum delay until peers are polled again of which none had a newer proof; with 1 s, leases ended where the store served one child only. */
export const proofRoundDelayMs = 400;
/** Minimum wait of a poll that is to end before the proof becomes stale. */
export const minProofPollWaitMs = 100;
/** Time that the answer to a watch or poll of a document may take beyond the wait. */
export const documentGraceMs = 400;
/** Age above which a node's copy of a document no longer counts as confirmed: a watch, a poll and their grace periods. */
export const documentStaleMs = 5000;
/** Time after which a node polls its parent again once it has switched to another peer; a failed parent is declared dead within about that time. */
export const documentParentRetryMs = 5000;
/** Consecutive peer failures after which a node reads the store itself; a single peer may have stopped. */
export const maxDocumentPeerFailures = 2;
/** First and maximum retry delay after a failed call for a document. */
export const documentRetryBaseMs = 100;
export const documentRetryCapMs = 1000;
export const documentTickMs = 100;
/** Maximum time for the transfer of a full document; 1 MiB, the maximum that the platform stores, needs 2.4 s at 3.5 Mbit/s. */
export const documentTransferMs = 3000;
/** Time to receive and read a document above which it may have changed again meanwhile; in a burst, changes are about 170 ms apart. */
export const documentBacklogThresholdMs = 150;
/** Documents that a node keeps as bases for changes; more than a burst of changes brings within the time that one change may take. */
export const maxKeptDocuments = 32;
/** Maximum number of log lines about unreadable parts of one document; the remaining parts are only counted. */
export const maxLoggedProblems = 16;
/** Maximum length of a response of the platform's store; four times the largest object that it stores, as a list may hold several objects. */
export const maxStoreAnswerBytes = 4096 * bytesPerKibibyte;
/** Maximum length of a call of another node, and of its answer; nested values of twice that length may exhaust the memory of a node. */
export const maxCallBytes = 2048 * bytesPerKibibyte;
/** Maximum length of an answer that may contain a snapshot of all teams' configurations. */
export const maxSnapshotAnswerBytes = 16 * 1024 * bytesPerKibibyte;
/** Maximum length of the text of a document from another node; twice the maximum that the platform stores. */
export const maxDocumentBytes = 2048 * bytesPerKibibyte;
export const statusIntervalMs = 1000;
export const logEntriesPerPoll = 64;
export const retryBaseMs = 100;
export const retryCapMs = 3000;

/** Processor and link of the reference host, whose capacity is `referenceCapacity`: one thread and a common network card. */
export const referenceCores = 1;
export const referenceLinkMbps = 1000;
export const referenceCapacity = 1000;
/** Maximum capacity of a record; 65 reference hosts, as nodes have one thread. */
export const maxCapacity = 65_535;

export const upstreamLeaseMs = 3000;
export const upstreamRenewMs = 1000;
/** Maximum delay of an announcement that can still be told from a new one. */
export const upstreamTombstoneMs = 60_000;
/** Maximum time for which a departure is remembered, ms; that of a leaving upstream whose lease was just renewed. */
export const maxDepartureMs = 2 * upstreamTombstoneMs;
export const maxUpstreamsPerHost = 16;
/** Leases of a host's upstreams, with those that have ended, from which withdrawals of unknown ones are no longer kept. */
export const maxLeasesPerHost = 4 * maxUpstreamsPerHost;
/** Maximum age of an upstream in a record; it matters only while an upstream is new. */
export const maxUpstreamAgeMs = 24 * 60 * msPerMinute;
/** Time by which a Node.js timer may fire early, ms. */
export const timerToleranceMs = 1;
export const membersPeriodMs = 1000;
export const exchangeTimeoutMs = 500;
export const indirectProbeMs = 1000;
export const indirectProbes = 3;
export const suspicionMultiplier = 4;
export const retransmitMultiplier = 2;
export const spreadFanOut = 3;
export const spreadDelayMs = 50;
export const maxSpreadRecordsPerSecond = 16;
export const maxRecordsPerMessage = 24;
export const maxRecordsPerBucket = 512;
export const tombstoneMs = 24 * 60 * msPerMinute;
export const maxTombstones = 4096;
export const maxMembersPerDataCentre = 8192;
export const maxDataCentres = 64;
export const maxIncarnationAheadMs = 24 * 60 * msPerMinute;
export const refuteIntervalMs = 1000;
export const bridgesPerDataCentre = 3;
export const bridgePeriodMs = 3000;
export const unreachableAfterMs = 10_000;
export const syncPeriodMs = 10_000;
export const maxBucketsPerSync = 512;
export const maxBucketAnswersPerSecond = 64;
export const joinTimeoutMs = 2000;
export const joinRetryMs = 2000;
export const joinWindowMsPerMember = 4;
export const maxJoinWindowMs = 30_000;
export const maxSeeds = 24;
export const seedsReadJitterMs = 500;
/** Maximum delay before the seeds object is read again after a conflicting write of another node. */
export const seedsConflictMs = 300;
export const seedsRetryMs = 4000;
export const seedsRetryMsPerMember = 36;
export const seedsRetryCapMs = 30_000;
export const seedsRefreshMs = 30_000;
export const seedsWriteIntervalMs = 10_000;
/** First and maximum delay before the seeds object is written again when a write has not mended it. */
export const seedsMendBaseMs = 1000;
export const seedsMendCapMs = 30_000;
/** Maximum wait of a watch on the seeds objects. */
export const seedsWatchWaitMs = 25_000;
/** Maximum number of lists in one read of the seeds objects; other writers may add objects of the same kind. */
export const maxSeedsPages = 8;
/** Maximum number of addresses that are taken from one read of the seeds objects. */
export const maxListedSeeds = maxDataCentres * maxSeeds;
/** Maximum difference between the wall clocks of two nodes; a time further in the future is unknown. */
export const maxClockDifferenceMs = 5000;
export const nameCheckIntervalMs = 5000;

export const maxAttempts = 3;
export const defaultDeadlineMs = 2000;
/** Maximum time limit that another node may state; timers overflow above 24 days. */
export const maxDeadlineMs = 24 * 60 * msPerMinute;
export const defaultSlots = 6;
export const defaultConnections = 110;
export const maxBodyBytes = 1024 * bytesPerKibibyte;
export const retryAfterSeconds = 1;
/** Maximum delay that a gate may state; a quarantine may last hours. */
export const maxRetryAfterSeconds = 24 * 60 * 60;
export const msPerSecond = 1000;
export const queueSlotsRatio = 4;
export const reservedSlotsRatio = 1 / 6;
export const serverIdleMs = 60_000;
export const headersTimeoutMs = 10_000;
export const requestTimeoutMs = 60_000;
export const maxHeaderBytes = 16 * bytesPerKibibyte;
export const peerIdleWaitMs = 3000;
export const maxCallerInFlight = 2048;
/** Time after which a request is sent again to a node that had no processor time left; its event loop lag has ended by then. */
export const busyRetryMs = 100;
/** Mean time after which a request is sent again to a node that could not tell whether its API key is valid; half of the wait after which a node's configuration is confirmed again. */
export const confirmationRetryMs = documentPollWaitMs / 2;
/** Event loop lag above which what a node reads may be outdated; about the time of a hop and a request. */
export const lagThresholdMs = 50;
export const maxDepth = 16;
/** Maximum number of requests in flight of a route of a document; the node's own limit is lower. */
export const maxDocumentConcurrency = 10_000;
export const latencyRefreshMs = 500;

export const stampLifetimeMs = 75_000;
export const ledgerBucketMs = 250;
export const maxLedgerRecords = 32_768;
export const maxKeptAnswerBytes = 64 * bytesPerKibibyte;
export const maxKeptBytes = 4096 * bytesPerKibibyte;

/** Time without a keepalive or response after which the connection of an attempt is no longer relied on, and the gate is asked for its outcome. */
export const askAfterMs = 1000;
/** Silence after which a host gets no further attempts: one keepalive interval, and half of one for delays. */
export const hostSilenceTimeoutMs = 600;
/** Interval of the keepalives for a long-running attempt. */
export const keepaliveIntervalMs = 400;
/** Interim responses to one request from which its connection is closed; a gate sends three a second. */
export const maxInterimResponsesPerSecond = 64;
export const askTimeoutMs = 500;
export const askRetryMs = 100;
export const maxAsks = 3;
export const maxRestamps = 2;
/** Maximum number of reroutes of a request after attempts at wrong hosts; each costs about a round trip. */
export const maxReroutes = 4;
/** Number of reroutes after which a request is no longer rerouted from full hosts: each costs two nodes processor time while it is scarcest. */
export const maxFullReroutes = 1;
export const deadlineMarginMs = 10;
/** Time reserved for a response to reach its client: a round trip to a distant client, and at most a ratio of the deadline. */
export const responseMarginMs = 25;
export const responseMarginRatio = 0.05;
export const connectTimeoutMs = 250;
export const idleConnectionMs = 2000;
/** Time without progress after which the rest of a request's body is no longer sent to a server that has already responded; the client's next request waits behind it. */
export const restTimeoutMs = 1000;
export const maxBufferedBytes = 64 * bytesPerKibibyte;
/** Length of the part by which bodies longer than `maxBufferedBytes` are told apart. */
export const bodyPrefixBytes = 4 * bytesPerKibibyte;
/** Maximum length of a body that a node buffers; longer bodies are streamed. */
export const maxBufferedBodyBytes = 512 * bytesPerKibibyte;
/** Memory budget of a node for buffered bodies; an eighth of the 128 MB of a node. */
export const bodyMemoryBudgetBytes = 16 * 1024 * bytesPerKibibyte;
/** Body length from which host selection counts the transfer time on a link; 22 ms at 6 Mbit/s. */
export const minTransferCostBodyBytes = 16 * bytesPerKibibyte;

export const retryBackoffBaseMs = 10;
export const retryBackoffCapMs = 250;
export const retryBudgetRatio = 0.1;
export const minRetryBudget = 10;
export const retryBudgetWindowMs = 10_000;

/** Maximum number of requests about which a node keeps that upstreams have crashed; 7 MB when each has eight crashes. */
export const maxCrashRecords = 4096;
export const maxCrashesPerRecord = 8;
/** Maximum age of a crash in such a record; quarantines are shorter. */
export const maxCrashAgeMs = 24 * 60 * msPerMinute;
/** Maximum number of software versions in such a record; a service rarely runs more than two. */
export const maxVersionsPerRecord = 4;
/** Maximum number of such records in a message; about 14 KB when each has two crashes. */
export const maxCrashRecordsPerMessage = 64;
/** Maximum number of such records that a node passes on in a second; with `spreadFanOut` receivers about 10 KB/s. */
export const maxCrashRecordsSpreadPerSecond = 24;
/** Delay in which such records are collected before they are passed on. */
export const crashSpreadDelayMs = 5;

export const spilloverThreshold = 0.8;
export const loadExpiryMs = 1000;
/** Age at which a host's reported rate limit wait expires; the same as for its load. */
export const rateLimitWaitExpiryMs = loadExpiryMs;
/** Slow start: time over which the traffic of a new host rises to its normal share, as upstreams are slow for about three seconds after their start. */
export const slowStartMs = 3000;
/** Time after which a local host without requests is tried again, so that it is not rated by outdated times. */
export const exploreAfterMs = 1500;
/** Ratio of the requests that may explore such hosts. */
export const exploreRatio = 0.2;
/** Time of a request at an upstream as a ratio of its objective; assumed while nothing is known. */
export const defaultObjectiveRatio = 0.35;
/** Number of hosts that are compared for one request. */
export const hostSampleSize = 4;
export const minInUseRatio = 0.5;
export const ejectionBaseMs = 1000;
export const ejectionCapMs = 30_000;
export const ejectionErrorRatio = 0.5;
/** First and maximum time for which an unreachable host is ejected; the first equals the connect timeout. */
export const unreachableBaseMs = 250;
export const unreachableCapMs = 2000;
export const ejectionMinSamples = 10;

export const traceQueueSpans = 2048;
export const traceExportIntervalMs = 1000;
export const traceExportTimeoutMs = 3000;
export const metricsIntervalMs = 10_000;
export const metricsFlushMs = 1000;
export const metricsPacketBytes = 1432;
