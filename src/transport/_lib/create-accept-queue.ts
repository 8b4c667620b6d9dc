import type {Socket} from 'node:net';

/** Connections that were accepted and released in one uninterrupted run. */
export type AcceptedBatch = {
	readonly count: number;
	/** Longest wait of any of these connections, ms. */
	readonly waitMs: number;
};

/** Options of `createAcceptQueue`. */
export type AcceptQueueOptions = {
	/** Monotonic ms. */
	readonly now: () => number;
	/** Returns the longest time for which a connection may have waited unnoticed, ms. */
	readonly readMaxWait: () => number;
	/** Starts reading requests from a connection; `waitMs` is an upper bound on how long it has waited. */
	readonly release: (socket: Socket, waitMs: number) => void;
	/** Called once no connections are left in the queue. */
	readonly onBatch: (batch: AcceptedBatch) => void;
};

/** Queue of accepted connections that the server does not read from yet. */
export type AcceptQueue = {
	/** Adds a newly accepted connection. */
	add(socket: Socket): void;
};

type HeldConnection = {
	readonly socket: Socket;
	/** Last time before this connection at which the accept backlog was known to be empty, monotonic ms. */
	readonly since: number;
};

/** Maximum number of connections released in one event loop turn; a cold node takes about 15 ms for their first requests. */
const maxReleasesPerTurn = 4;

/** Longest time between releases, ms; about the lag above which a request may be outdated. */
const maxReleaseIntervalMs = 50;

/**
 * Creates a queue that holds new connections of a server until the accept
 * backlog is empty.
 *
 * Load pattern: many clients reconnect at the same time. Node.js accepts one
 * connection per event loop turn. If a request is handled in each turn, the
 * remaining connections wait in the backlog until all of those requests are
 * done, and the event loop lag does not show this wait. While requests are held
 * back, turns that only accept a connection are short; a turn without an accept
 * means that the backlog is empty.
 *
 * @param options - see `AcceptQueueOptions`
 * @returns the queue
 */
export function createAcceptQueue({
	now,
	readMaxWait,
	release,
	onBatch,
}: AcceptQueueOptions): AcceptQueue {
	const held: HeldConnection[] = [];
	let lastEmptyAt = 0;
	let releasedAt = 0;
	let isTurnWithoutAccept = true;
	let isChecking = false;
	let count = 0;
	let maxWaitMs = 0;

	function releaseBatch(at: number): void {
		releasedAt = at;
		for (const {socket, since} of held.splice(0, maxReleasesPerTurn)) {
			count++;
			maxWaitMs = Math.max(maxWaitMs, at - since);
			release(socket, at - since);
		}
	}

	function checkTurn(): void {
		const at = now();
		const wasWithoutAccept = isTurnWithoutAccept;
		isTurnWithoutAccept = true;
		if (wasWithoutAccept) {
			lastEmptyAt = at;
		}

		if (wasWithoutAccept || at - releasedAt >= maxReleaseIntervalMs) {
			releaseBatch(at);
		}

		isChecking = held.length > 0 || !wasWithoutAccept;
		if (isChecking) {
			setImmediate(checkTurn);
			return;
		}

		onBatch({count, waitMs: maxWaitMs});
		count = 0;
		maxWaitMs = 0;
	}

	return {
		add(socket) {
			isTurnWithoutAccept = false;
			if (!isChecking) {
				isChecking = true;
				releasedAt = now();
				// The connection may have arrived at any time during the last turn.
				lastEmptyAt = releasedAt - readMaxWait();
				setImmediate(checkTurn);
			}

			held.push({socket, since: lastEmptyAt});
		},
	};
}
