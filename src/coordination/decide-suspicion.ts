import {computeQuarantineTime} from './compute-quarantine-time.js';
import {listOpenCrashes} from './list-open-crashes.js';
import {
	noSuspicion,
	type Crash,
	type CrashRecord,
	type Suspicion,
	type VersionStatus,
} from './quarantine-state.js';

const suspect: Suspicion = {kind: 'suspect'};

/** Decides by crashes alone. */
function decideByCrashes(
	crashes: readonly Crash[],
	jitter: number,
	now: number,
): Suspicion {
	if (crashes.length === 0) {
		return noSuspicion;
	}

	const lastAt = Math.max(...crashes.map(({at}) => at));
	const durationMs = computeQuarantineTime(crashes.length) * (1 + jitter);
	const remainingMs = lastAt + durationMs - now;
	return remainingMs > 0 ? {kind: 'quarantined', remainingMs} : suspect;
}

/** Decides for upstreams of a software version that may run the request although others have crashed. */
function decideForVersion(
	record: CrashRecord,
	version: string,
	status: VersionStatus,
	now: number,
): Suspicion {
	switch (status) {
		case 'announced': {
			return suspect;
		}

		case 'answered': {
			const ownCrashes = listOpenCrashes(record).filter(
				(crash) => crash.version === version,
			);
			return decideByCrashes(ownCrashes, record.jitter, now);
		}
	}
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
 * A new version of the service's software may have mended the fault. Its first
 * upstream may run the request once, without waiting for the end of the
 * quarantine; upstreams of versions that have crashed still do not get it.
 *
 * @param record - what is known about the request; undefined when nothing is
 * @param now - monotonic ms
 * @param version - software version of the upstream; undefined to decide for
 * all upstreams of the service together
 * @returns the decision
 * @example
 * decideSuspicion(undefined, 0).kind; // 'none'
 */
export function decideSuspicion(
	record: CrashRecord | undefined,
	now: number,
	version?: string,
): Suspicion {
	if (!record) {
		return noSuspicion;
	}

	const status =
		version === undefined ? undefined : record.versions.get(version);
	if (version !== undefined && status !== undefined) {
		return decideForVersion(record, version, status, now);
	}

	const byCrashes = decideByCrashes(
		listOpenCrashes(record),
		record.jitter,
		now,
	);
	const isRunByOthers =
		version === undefined &&
		byCrashes.kind === 'quarantined' &&
		[...record.versions].some(
			([name, known]) =>
				decideForVersion(record, name, known, now).kind !== 'quarantined',
		);
	return isRunByOthers ? suspect : byCrashes;
}
