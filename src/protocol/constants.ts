/**
 * Named constants shared by every layer, with their units in their names.
 */

export const bytesPerKibibyte = 1024;
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
/** Children of a node with the capacity that is usual in its data centre; three would be the least link time, four saves a hop. */
export const treeFanOut = 4;
/** Most children of a node: each costs a waiting call and processor time, however fast the link. */
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
/** Longest wait of a watch on a document; bounds how long a silent one hides a change from its node. */
export const documentWatchWaitMs = 3000;
/** Longest wait of a poll for a document; bounds how long a silent source is trusted. */
export const documentPollWaitMs = 800;
/** Time that an answer about a document may take beyond the wait. */
export const documentGraceMs = 400;
/** Age above which a node's copy of a document does not count as confirmed; a watch, a poll and their grace. */
export const documentStaleMs = 5000;
/** Time after which a node asks its parent again that it has left, ms; one that is gone is declared dead within about that time. */
export const documentParentRetryMs = 5000;
/** Peers that have to fail in a row before a node reads the store itself; one may have stopped. */
export const maxDocumentPeerFailures = 2;
/** First and longest delay after a failed call for a document. */
export const documentRetryBaseMs = 100;
export const documentRetryCapMs = 1000;
export const documentTickMs = 100;
/** Longest time that a whole document takes to arrive; 1 MiB, the most that the platform stores, needs 2.4 s at 3.5 Mbit/s. */
export const documentTransferMs = 3000;
/** Time for a copy to arrive and be read above which further changes may have come meanwhile; they come some 170 ms apart in a storm. */
export const documentBacklogThresholdMs = 150;
/** Documents that a node keeps to compute changes from; more than a storm brings within the time that a change may take. */
export const maxKeptDocuments = 32;
/** Log lines on parts of one document that can't be read; the rest is counted. */
export const maxLoggedProblems = 16;
/** Longest answer of the platform's store that is read; four times the most that it stores, as a list may hold several objects. */
export const maxStoreAnswerBytes = 4096 * bytesPerKibibyte;
/** Longest answer of another node that is read; a document may double in length when it is quoted. */
export const maxPeerAnswerBytes = 16 * 1024 * bytesPerKibibyte;
/** Longest text of a document that a node takes from another; four times the most that the platform stores. */
export const maxDocumentBytes = 4096 * bytesPerKibibyte;
export const statusIntervalMs = 1000;
export const logEntriesPerPoll = 64;
export const retryBaseMs = 100;
export const retryCapMs = 3000;

/** Processor and link of the host whose capacity is `usualCapacity`: one thread and a common network card. */
export const referenceCores = 1;
export const referenceLinkMbps = 1000;
export const referenceCapacity = 1000;
/** Largest capacity of a record; 65 usual hosts, as nodes have one thread. */
export const maxCapacity = 65_535;

export const upstreamLeaseMs = 3000;
export const upstreamRenewMs = 1000;
/** Longest delay of an announcement that is still told from a new one. */
export const upstreamTombstoneMs = 60_000;
export const maxUpstreamsPerHost = 16;
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
/** Longest delay before the seeds object is read after another node was first to write it. */
export const seedsConflictMs = 300;
export const seedsRetryMs = 4000;
export const seedsRetryMsPerMember = 36;
export const seedsRetryCapMs = 30_000;
export const seedsRefreshMs = 30_000;
export const seedsWriteIntervalMs = 10_000;
export const nameCheckIntervalMs = 5000;

export const maxAttempts = 3;
export const defaultDeadlineMs = 2000;
export const defaultSlots = 6;
export const defaultConnections = 110;
export const maxBodyBytes = 1024 * bytesPerKibibyte;
export const retryAfterSeconds = 1;
export const msPerSecond = 1000;
export const queueSlotsRatio = 4;
export const reservedSlotsRatio = 1 / 6;
export const serverIdleMs = 60_000;
export const headersTimeoutMs = 10_000;
export const requestTimeoutMs = 60_000;
export const maxHeaderBytes = 16 * bytesPerKibibyte;
export const peerIdleWaitMs = 3000;
export const maxCallerInFlight = 2048;
/** Time after which a node that had no processor time left is asked again; its lag is gone by then. */
export const busyRetryMs = 100;
/** Lag of a node above which what it reads may be outdated, ms; about a hop and a request. */
export const lagThresholdMs = 50;
export const maxDepth = 16;
/** Requests in flight of a route of a document; the node's own bound is lower. */
export const maxDocumentConcurrency = 10_000;
export const latencyRefreshMs = 500;

export const stampLifetimeMs = 75_000;
export const ledgerBucketMs = 250;
export const maxLedgerRecords = 32_768;
export const maxKeptAnswerBytes = 64 * bytesPerKibibyte;
export const maxKeptBytes = 4096 * bytesPerKibibyte;

/** Silence after which an attempt's connection is no longer trusted. */
export const askAfterMs = 1000;
/** Silence after which a host gets no further attempts, ms: one sign of life, and half of one for delays. */
export const hostSilenceTimeoutMs = 600;
/** Time between the signs of life of an attempt that takes long. */
export const keepaliveIntervalMs = 400;
export const askTimeoutMs = 500;
export const askRetryMs = 100;
export const maxAsks = 3;
export const maxRestamps = 2;
/** Tries at hosts that turn out to be the wrong ones; each costs about a round trip. */
export const maxReroutes = 4;
/** Tries after which a request is no longer passed on from full hosts: each costs two nodes their time when there is least. */
export const maxFullReroutes = 1;
export const deadlineMarginMs = 10;
/** Time that an answer needs to reach its client: a round trip to a distant one, and at most a part of the deadline. */
export const responseMarginMs = 25;
export const responseMarginRatio = 0.05;
export const connectTimeoutMs = 250;
export const idleConnectionMs = 2000;
export const maxBufferedBytes = 64 * bytesPerKibibyte;
/** Longest body that waits in a node; longer ones are passed on as they come in. */
export const maxBufferedBodyBytes = 512 * bytesPerKibibyte;
/** Memory of a node for the bodies that wait; an eighth of the 128 MB of a node. */
export const bodyMemoryBudgetBytes = 16 * 1024 * bytesPerKibibyte;
/** Length of a body from which its time on a link counts in placing; 22 ms at 6 Mbit/s. */
export const minTransferCostBodyBytes = 16 * bytesPerKibibyte;

export const retryBackoffBaseMs = 10;
export const retryBackoffCapMs = 250;
export const retryBudgetRatio = 0.1;
export const minRetryBudget = 10;
export const retryBudgetWindowMs = 10_000;

export const spilloverThreshold = 0.8;
export const loadExpiryMs = 1000;
/** Time for which a host's wait under a rate limit is believed; as long as its load. */
export const rateLimitWaitExpiryMs = loadExpiryMs;
/** Time over which a new host's share grows: upstreams are slow for about three seconds after their start. */
export const slowStartMs = 3000;
/** Time after which a near host that gets no requests is tried again, so that it is not judged by old times. */
export const exploreAfterMs = 1500;
/** Part of the requests that may be such tries. */
export const exploreRatio = 0.2;
/** Part of its objective that a request usually takes at an upstream; assumed while nothing is known. */
export const defaultObjectiveRatio = 0.35;
/** Hosts that are compared for one request. */
export const hostSampleSize = 4;
export const minInUseRatio = 0.5;
export const ejectionBaseMs = 1000;
export const ejectionCapMs = 30_000;
export const ejectionErrorRatio = 0.5;
/** First and longest time for which an unreachable host is left out; the first is a connect timeout. */
export const unreachableBaseMs = 250;
export const unreachableCapMs = 2000;
export const ejectionMinSamples = 10;

export const traceQueueSpans = 2048;
export const traceExportIntervalMs = 1000;
export const traceExportTimeoutMs = 3000;
export const metricsIntervalMs = 10_000;
export const metricsFlushMs = 1000;
export const metricsPacketBytes = 1432;
