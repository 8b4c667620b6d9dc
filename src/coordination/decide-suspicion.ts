import {computeQuarantineTime} from './compute-quarantine-time.js';
import {listOpenCrashes} from './list-open-crashes.js';
import {
	noSuspicion,
	type CrashRecord,
	type Suspicion,
} from './quarantine-state.js';

const suspect: Suspicion = {kind: 'suspect'};

/**
 * Decides whether a request may be sent to upstreams.
 *
 * Load pattern: a request crashes each upstream that runs it, and comes again
 * at any node. Other requests that ran beside it are suspects too, until one of
 * their runs ends with a response; two suspects never run beside each other, so
 * that the second crash tells which one is to blame. At the end of a quarantine
 * the request is a suspect again, and one more crash quarantines it for longer.
 *
 * @param record - what is known about the request; undefined when nothing is
 * @param now - monotonic ms
 * @returns the decision
 * @example
 * decideSuspicion(undefined, 0).kind; // 'none'
 */
export function decideSuspicion(
	record: CrashRecord | undefined,
	now: number,
): Suspicion {
	const crashes = record ? listOpenCrashes(record) : [];
	if (!record || crashes.length === 0) {
		return noSuspicion;
	}

	const lastAt = Math.max(...crashes.map(({at}) => at));
	const durationMs =
		computeQuarantineTime(crashes.length) * (1 + record.jitter);
	const remainingMs = lastAt + durationMs - now;
	return remainingMs > 0 ? {kind: 'quarantined', remainingMs} : suspect;
}
