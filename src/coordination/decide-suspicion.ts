import {msPerMinute, msPerSecond} from '../protocol/constants.js';
import {listOpenCrashes} from './list-open-crashes.js';
import type {CrashRecord, Suspicion} from './quarantine-state.js';

/** Crashes from which a request is quarantined; one crash has as many suspects as its upstream had requests. */
const minQuarantineCrashes = 2;

/** Time of the first quarantine, ms; a request that is blamed wrongly is served again after it. */
const firstQuarantineMs = 30 * msPerSecond;

/** Time of the second quarantine, ms; it doubles with each further crash. */
const secondQuarantineMs = 10 * msPerMinute;

const noSuspicion: Suspicion = {kind: 'none'};
const suspect: Suspicion = {kind: 'suspect'};

function computeQuarantineMs(crashes: number, jitter: number): number {
	const further = crashes - minQuarantineCrashes;
	const durationMs =
		further === 0 ? firstQuarantineMs : secondQuarantineMs * 2 ** (further - 1);
	return durationMs * (1 + jitter);
}

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

	if (crashes.length < minQuarantineCrashes) {
		return suspect;
	}

	const lastAt = Math.max(...crashes.map(({at}) => at));
	const remainingMs =
		lastAt + computeQuarantineMs(crashes.length, record.jitter) - now;
	return remainingMs > 0 ? {kind: 'quarantined', remainingMs} : suspect;
}
