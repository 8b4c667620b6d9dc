import type {RefusalEvent} from '../../protocol/observer.js';

/** Number of refusals that are alike. */
export type RefusalCount = RefusalEvent & {readonly count: number};

/** Counts refusals between two readings. */
export type RefusalCounter = {
	record(event: RefusalEvent): void;
	/** Returns the counts since the last call. */
	take(): readonly RefusalCount[];
};

/**
 * Creates a counter of refusals by place, route and reason.
 *
 * @returns the counter
 */
export function createRefusalCounter(): RefusalCounter {
	let counts = new Map<string, {event: RefusalEvent; count: number}>();
	return {
		record(event) {
			const {place, route, reason, isReturned, hasFreeSlot} = event;
			const key = `${place} ${reason} ${isReturned} ${hasFreeSlot} ${route}`;
			const known = counts.get(key);
			if (known) {
				known.count++;
			} else {
				counts.set(key, {event, count: 1});
			}
		},
		take() {
			const taken = [...counts.values()];
			counts = new Map();
			return taken.map(({event, count}) => ({...event, count}));
		},
	};
}
