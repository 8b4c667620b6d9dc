/**
 * Settings of a node whose platform starts it, keeps its configuration and
 * tells it where everything is.
 */

/** Settings of one such node; addresses are `IP:PORT`. */
export type MeshSettings = {
	readonly name: string;
	readonly dataCentre: string;
	/** Where callers on the host send their requests. */
	readonly callers: string;
	/** Where other nodes reach this one. */
	readonly peers: string;
	/** Where metrics are served. */
	readonly metrics: string;
	/** Where the platform asks whether the node takes requests. */
	readonly readiness: string;
	/** Where the upstream on the host announces itself. */
	readonly announcements: string;
	/** The platform's store. */
	readonly store: string;
	/** Service of the upstream on the host. */
	readonly service: string | undefined;
	/** Address of the upstream on the host. */
	readonly upstreamAddress: string | undefined;
	/** Time between the announcements of an upstream. */
	readonly announceIntervalMs: number;
	/** Time from SIGTERM until the process is killed. */
	readonly graceMs: number;
	/** Part of a service's requests that may reach a second upstream, over all nodes. */
	readonly retryRatio: number;
	/** Requests that may do so besides, in a window, over all nodes. */
	readonly retrySlack: number;
	readonly retryWindowMs: number;
	/** Processor time that the node gets, in seconds of one core a second. */
	readonly cores?: number | undefined;
	/** Bandwidth of the host's link. */
	readonly linkMbps?: number | undefined;
};
