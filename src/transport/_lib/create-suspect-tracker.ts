import {
	noSuspicion,
	type RunningRequest,
	type Suspicion,
} from '../../coordination/quarantine-state.js';
import type {Attempt} from '../../protocol/attempt.js';
import {msPerSecond} from '../../protocol/constants.js';
import type {Announcement} from '../../protocol/member.js';
import {formatService} from '../../state/format-service.js';
import type {RequestQuarantine} from '../start-quarantine-task.js';
import {createRecentSet} from './create-recent-set.js';
import {formatRequestKey} from './format-request-key.js';
import type {Job, LocalUpstream} from './local-upstream.js';
import {readFingerprint} from './read-fingerprint.js';

/** Options of `createSuspectTracker`. */
export type SuspectTrackerOptions = {
	/** Keeps what all nodes know; without it, no request is suspected. */
	readonly quarantine: RequestQuarantine | undefined;
	/** Finds the upstream of this host that would run an attempt. */
	readonly findUpstream: (attempt: Attempt) => LocalUpstream | undefined;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Tells the quarantine what the upstreams of a gate show, and the gate which requests are suspected. */
export type SuspectTracker = {
	/** Whether any request is suspected. */
	hasSuspicions(): boolean;
	/** Tells whether the upstream on this host may run an attempt. */
	readSuspicion(attempt: Attempt): Suspicion;
	/** Records that an upstream has answered a job. */
	recordCompletion(job: Job): void;
	/** Records that an upstream has crashed while it ran attempts. */
	recordCrash(
		id: string,
		upstream: LocalUpstream,
		running: readonly Attempt[],
	): void;
	/** Records the software version of an announced upstream. */
	recordAnnouncement(announcement: Announcement): void;
};

/** Time for which a request that an upstream has answered is not suspected of a crash there, ms. */
const answeredRetentionMs = 10 * msPerSecond;

const maxAnsweredKeys = 4096;

/** Stands for an upstream that announces no version; it is not one that may run what others may not. */
const unknownVersion = '';

/**
 * Creates the part of a gate that tells requests that crash its upstreams from
 * those that only ran beside them.
 *
 * @param options - see `SuspectTrackerOptions`
 * @returns the tracker
 */
export function createSuspectTracker({
	quarantine,
	findUpstream,
	now,
}: SuspectTrackerOptions): SuspectTracker {
	/** Requests that an upstream on the host has answered, and that therefore do not crash it. */
	const answered = createRecentSet({
		retentionMs: answeredRetentionMs,
		maxKeys: maxAnsweredKeys,
		now,
	});

	function listSuspects(running: readonly Attempt[]): RunningRequest[] {
		return running
			.filter((attempt) => !answered.has(formatRequestKey(attempt) ?? ''))
			.flatMap((attempt) => {
				const fingerprint = readFingerprint(attempt);
				return fingerprint === undefined
					? []
					: [{fingerprint, service: attempt.service}];
			});
	}

	return {
		hasSuspicions: () => quarantine?.hasRecords() ?? false,
		readSuspicion(attempt) {
			if (!quarantine?.hasRecords()) {
				return noSuspicion;
			}

			const version = findUpstream(attempt)?.announcement.version;
			return quarantine.readSuspicion(
				readFingerprint(attempt),
				version ?? unknownVersion,
			);
		},
		recordCompletion({attempt, upstream}) {
			const key = formatRequestKey(attempt);
			if (key !== undefined) {
				answered.add(key);
			}

			if (quarantine?.hasRecords()) {
				quarantine.recordCompletion(
					readFingerprint(attempt),
					upstream.announcement.version,
				);
			}
		},
		recordCrash(id, {announcement}, running) {
			quarantine?.recordCrash(id, listSuspects(running), announcement.version);
		},
		recordAnnouncement(announcement) {
			const {version, state} = announcement;
			if (version !== undefined && state === 'ready') {
				quarantine?.recordVersion(formatService(announcement), version);
			}
		},
	};
}
