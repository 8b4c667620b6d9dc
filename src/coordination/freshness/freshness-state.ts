/**
 * State of the proof that a node's document is the newest one. All times are
 * elapsed time, which counts suspensions of the machine, in ms.
 */
export type FreshnessState = {
	/** Age up to which a proof allows requests with API keys, ms. */
	readonly leaseMs: number;
	/** Time of the current step. */
	readonly elapsedAt: number;
	/**
	 * Every version that the store acknowledged before this time is in force at
	 * the node; negative infinity without a proof.
	 */
	readonly provenAt: number;
	/** When the last call to the store began. */
	readonly storeCallAt: number;
	/** When the last poll of another node was sent. */
	readonly pollAt: number;
	/**
	 * Whether the store holds a document that the node could not read at all.
	 * "Nothing newer" then says nothing about the running document.
	 */
	readonly isUnreadable: boolean;
	/** Whether the proof was younger than the lease at the last step. */
	readonly isLeaseValid: boolean;
};
