import type {Socket} from 'node:net';

/** Connections that were accepted and released without a pause. */
export type AcceptedBatch = {
	readonly count: number;
	/** Longest time that one of them has waited, ms. */
	readonly waitMs: number;
};

/** Options of `createAcceptQueue`. */
export type AcceptQueueOptions = {
	/** Monotonic ms. */
	readonly now: () => number;
	/** How late the event loop runs, ms. */
	readonly readLag: () => number;
	/** Lets the requests on a connection be read, which has waited for so long at most. */
	readonly release: (socket: Socket, waitMs: number) => void;
	/** Called when no connection waits any more. */
	readonly onBatch: (batch: AcceptedBatch) => void;
};

/** The connections of a server on which nothing is read yet. */
export type AcceptQueue = {
	/** Holds a connection that has been accepted. */
	add(socket: Socket): void;
};

type HeldConnection = {
	readonly socket: Socket;
	/** When the queue was last known to be empty before it came, monotonic ms. */
	readonly since: number;
};

/** Connections released in one turn of the event loop: their first requests take a cold node about 15 ms. */
const releasedPerTurn = 4;

/** Longest time without a release, ms; about the lag above which a request may be outdated. */
const maxDrainMs = 50;

/**
 * Creates the queue that holds new connections of a server until no more of
 * them wait to be accepted.
 *
 * Answers the load of clients that come back on new connections. Node accepts
 * one connection in each turn of its event loop: with a request handled in each
 * turn the others wait unseen for as long as all of those requests take, while
 * the loop itself is hardly late. Turns in which nothing but an accept happens
 * are short, and after a turn without any the last connection has been accepted.
 *
 * @param options - see `AcceptQueueOptions`
 * @returns the queue
 */
export function createAcceptQueue({
	now,
	readLag,
	release,
	onBatch,
}: AcceptQueueOptions): AcceptQueue {
	const held: HeldConnection[] = [];
	let emptyAt = 0;
	let releasedAt = 0;
	let isTurnQuiet = true;
	let isChecking = false;
	let count = 0;
	let longestMs = 0;

	function releaseSome(at: number): void {
		releasedAt = at;
		for (const {socket, since} of held.splice(0, releasedPerTurn)) {
			count++;
			longestMs = Math.max(longestMs, at - since);
			release(socket, at - since);
		}
	}

	function checkTurn(): void {
		const at = now();
		const wasQuiet = isTurnQuiet;
		isTurnQuiet = true;
		if (wasQuiet) {
			emptyAt = at;
		}

		if (wasQuiet || at - releasedAt >= maxDrainMs) {
			releaseSome(at);
		}

		isChecking = held.length > 0 || !wasQuiet;
		if (isChecking) {
			setImmediate(checkTurn);
			return;
		}

		onBatch({count, waitMs: longestMs});
		count = 0;
		longestMs = 0;
	}

	return {
		add(socket) {
			isTurnQuiet = false;
			if (!isChecking) {
				isChecking = true;
				releasedAt = now();
				// It may have come at any time in the last turn.
				emptyAt = releasedAt - readLag();
				setImmediate(checkTurn);
			}

			held.push({socket, since: emptyAt});
		},
	};
}
