import {computeTimerDelay} from './compute-timer-delay.js';

/** Options of `createSharedTimer`. */
export type SharedTimerOptions<Item> = {
	/** Called with each item whose time has come; the item may be started again. */
	readonly onDue: (item: Item) => void;
	/** Whether `onDue` is called after the poll phase that follows the expiry, when the sockets have been read; false when absent. */
	readonly isPostPoll?: boolean;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** One timer for many items. */
export type SharedTimer<Item> = {
	/** Starts the time of an item, anew if it runs already. */
	start(item: Item, delayMs: number): void;
	/** Stops the time of an item, if it runs. */
	stop(item: Item): void;
};

/**
 * Creates a timer for many items, of which most are stopped before their time
 * has come.
 *
 * Load pattern: each request has a deadline and signs of life, and almost every
 * one ends before the first of them. A timer of its own costs a request more
 * than the entry here; the one timer fires once for all items that were stopped
 * in the meantime. It does not keep the process alive.
 *
 * @param options - see `SharedTimerOptions`
 * @returns the timer, at which no item runs
 * @example
 * createSharedTimer({onDue: endJob, now}).start(job, 250);
 */
export function createSharedTimer<Item>(
	options: SharedTimerOptions<Item>,
): SharedTimer<Item> {
	const {onDue, isPostPoll = false, now} = options;
	const dueTimes = new Map<Item, number>();
	let timer: NodeJS.Timeout | undefined;
	/** Time at which the timer fires, monotonic ms; infinity while it is not set. */
	let timerAt = Number.POSITIVE_INFINITY;

	function setTimer(at: number): void {
		clearTimeout(timer);
		timerAt = at;
		timer = setTimeout(handleExpiry, computeTimerDelay(at - now()));
		timer.unref();
	}

	function handleExpiry(): void {
		// What expires between here and the poll phase may still have unread data.
		const at = Math.max(timerAt, now());
		if (isPostPoll) {
			setImmediate(handleDue, at);
		} else {
			handleDue(at);
		}
	}

	function handleDue(at: number): void {
		// An item that was started since the expiry may have set the timer again.
		clearTimeout(timer);
		timerAt = Number.POSITIVE_INFINITY;
		const due: Item[] = [];
		let nextAt = Number.POSITIVE_INFINITY;
		for (const [item, dueAt] of dueTimes) {
			if (dueAt <= at) {
				due.push(item);
			} else {
				nextAt = Math.min(nextAt, dueAt);
			}
		}

		if (nextAt < timerAt) {
			setTimer(nextAt);
		}

		for (const item of due) {
			// An item that became due before it may have stopped it or started it again.
			const dueAt = dueTimes.get(item);
			if (dueAt !== undefined && dueAt <= at) {
				dueTimes.delete(item);
				onDue(item);
			}
		}
	}

	return {
		start(item, delayMs) {
			const dueAt = now() + delayMs;
			dueTimes.set(item, dueAt);
			if (dueAt < timerAt) {
				setTimer(dueAt);
			}
		},
		stop(item) {
			dueTimes.delete(item);
		},
	};
}
