import {msPerSecond} from '../../protocol/constants.js';

/** Stops that a node decides on by its own evidence. */
export type VersionStops = {
	/** Records the end of an attempt at the target of a service; returns whether the target is left out from now on. */
	record(service: string, isFailed: boolean): boolean;
	isStopped(service: string): boolean;
};

/** Failures in a row at which a node stops sending to a target; at a failure rate of 0.3, one run in two million. */
const maxFailuresInRow = 12;

/** Time for which it then stops, ms; the leader decides meanwhile. */
const stopDurationMs = 3 * msPerSecond;

/**
 * Creates the record of failures in a row.
 *
 * @param now - returns monotonic ms
 * @returns the record
 */
export function createVersionStops(now: () => number): VersionStops {
	const failuresInRow = new Map<string, number>();
	const stoppedUntil = new Map<string, number>();
	return {
		record(service, isFailed) {
			const failures = isFailed ? (failuresInRow.get(service) ?? 0) + 1 : 0;
			const isOver = failures >= maxFailuresInRow;
			failuresInRow.set(service, isOver ? 0 : failures);
			if (isOver) {
				stoppedUntil.set(service, now() + stopDurationMs);
			}

			return isOver;
		},
		isStopped: (service) => now() < (stoppedUntil.get(service) ?? 0),
	};
}
