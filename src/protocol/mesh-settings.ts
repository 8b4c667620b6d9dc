/**
 * Settings of a node that is started by a platform, which also stores its
 * configuration and provides all addresses.
 */

/** Settings for the revocation of API keys. */
export type RevocationSettings = {
	/** Time after its revocation was acknowledged from which a key must not be used on any node, ms. */
	readonly maxDelayMs: number;
};

/** Tolerances of the quotas of tenants, over all nodes. */
export type QuotaSettings = {
	readonly windowMs: number;
	/** Share by which the requests in a window may exceed the quota. */
	readonly overRatio: number;
	/** Requests in a window that may exceed the quota in addition. */
	readonly slack: number;
};

/** Bounds for roll-outs of software versions. */
export type RolloutSettings = {
	/** Maximum share of a service's requests that may reach a bad version. */
	readonly exposureRatio: number;
	/** Requests that may reach a bad version in addition. */
	readonly exposureSlack: number;
	/** Time after the 50th bad response in which the bad version must no longer get requests, ms. */
	readonly rollbackMs: number;
};

/** Settings of such a node; addresses are `IP:PORT`. */
export type MeshSettings = {
	readonly name: string;
	readonly dataCentre: string;
	/** Listen address for requests of the callers on the host. */
	readonly callers: string;
	/** Listen address for other nodes. */
	readonly peers: string;
	/** Listen address for metrics. */
	readonly metrics: string;
	/** Listen address for the platform's readiness checks. */
	readonly readiness: string;
	/** Listen address for announcements of the upstream on the host. */
	readonly announcements: string;
	/** Address of the platform's store. */
	readonly store: string;
	/** Service of the upstream on the host. */
	readonly service: string | undefined;
	/** Address of the upstream on the host. */
	readonly upstreamAddress: string | undefined;
	/** Interval of the announcements of an upstream. */
	readonly announceIntervalMs: number;
	/** Grace period from SIGTERM until the process is killed. */
	readonly graceMs: number;
	/** Ratio of a service's requests that may be sent to a second upstream, over all nodes. */
	readonly retryRatio: number;
	/** Requests per window that may be sent to a second upstream in addition, over all nodes. */
	readonly retrySlack: number;
	readonly retryWindowMs: number;
	/** Absent when the configuration need not be proven to be fresh. */
	readonly revocation?: RevocationSettings | undefined;
	/** Tolerances of the quotas of tenants. */
	readonly quota?: QuotaSettings | undefined;
	/** Bounds for roll-outs; absent when there are none. */
	readonly rollout?: RolloutSettings | undefined;
	/** Processor time available to the node, in seconds of one core per second. */
	readonly cores?: number | undefined;
	/** Bandwidth of the host's link. */
	readonly linkMbps?: number | undefined;
};
