import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import TinyQueue from 'tinyqueue';

/** A clock, a random source and an event queue that a test owns. */
export type Scheduler = {
	/** Current time in ms. */
	readonly now: () => number;
	/** Seeded numbers from 0 up to 1. */
	readonly random: () => number;
	/** Plans an action; returns a function that cancels it. */
	schedule(delayMs: number, action: () => void): () => void;
	/** Runs planned actions in order of time until the given time. */
	runUntil(endMs: number): void;
};

type Planned = {
	readonly at: number;
	readonly order: number;
	readonly action: () => void;
	isCancelled: boolean;
};

function comparePlanned(a: Planned, b: Planned): number {
	return a.at === b.at ? a.order - b.order : a.at - b.at;
}

/**
 * Creates a scheduler; actions planned for the same time run in seeded order.
 *
 * @param seed - seed of the random source, an integer
 * @returns the scheduler, at time 0
 * @example
 * createScheduler(1).now(); // 0
 */
export function createScheduler(seed: number): Scheduler {
	const generator = xoroshiro128plus(seed);
	const planned = new TinyQueue<Planned>([], comparePlanned);
	let time = 0;
	const random = () => uniformFloat64(generator);

	return {
		now: () => time,
		random,
		schedule(delayMs, action) {
			const item = {
				at: time + Math.max(0, delayMs),
				order: random(),
				action,
				isCancelled: false,
			};
			planned.push(item);
			return () => {
				item.isCancelled = true;
			};
		},
		runUntil(endMs) {
			for (
				let next = planned.peek();
				next && next.at <= endMs;
				next = planned.peek()
			) {
				planned.pop();
				time = next.at;
				if (!next.isCancelled) {
					next.action();
				}
			}

			time = endMs;
		},
	};
}
