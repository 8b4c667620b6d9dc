import {createConnection} from 'node:net';
import {connectTimeoutMs, msPerSecond} from '../../protocol/constants.js';
import type {Attempt} from '../../protocol/attempt.js';
import type {CrashEvent} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';
import {readErrorCode} from './read-error-code.js';
import type {Job, LocalUpstream} from './local-upstream.js';
import {readFingerprint} from './read-fingerprint.js';
import {waitForTurns} from './wait-for-turns.js';

/** Options of `createCrashDetector`. */
export type CrashDetectorOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Prefix of the identifiers of crashes; differs between all processes. */
	readonly idPrefix: string;
	/** Called with each crash and the attempts that were running; again with the same id when others turn out to have been running too. */
	readonly onCrash: (
		crash: CrashEvent,
		upstream: LocalUpstream,
		running: readonly Attempt[],
	) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** How a job that was sent to an upstream ended. */
export type JobEnd =
	| 'answered'
	| 'lost'
	| 'aborted'
	/** No connection was opened. */
	| 'refused'
	/** Another upstream has answered. */
	| 'replaced';

/** Tells crashes of upstreams from lost connections, and which requests were running. */
export type CrashDetector = {
	/** Records the end of a job that its upstream may have begun to run. */
	recordEnd(job: Job, end: JobEnd): void;
	/** Records that a later incarnation has taken the place of an upstream that was not leaving. */
	recordReplacement(upstream: LocalUpstream): void;
};

/** Time for which a job that ended without a response may explain a crash, ms; upstreams are back within seconds. */
const maxEvidenceAgeMs = 10 * msPerSecond;

/** Time for which a job that the gate has aborted may still be running at its upstream, ms. */
const maxAbortedAgeMs = msPerSecond;

/** Event loop turns after which the ends of all connections of a crashed upstream have been read. */
const turnsToReadCloses = 4;

/** Maximum number of ended jobs that are kept for an upstream. */
const maxEndedJobs = 64;

/** Maximum length of a path in the log. */
const maxLoggedPathLength = 200;

async function isListeningAt(address: string): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const socket = createConnection({
			host: host!,
			port: Number(port),
			timeout: connectTimeoutMs,
		});
		const settle = (isListening: boolean): void => {
			socket.destroy();
			resolve(isListening);
		};

		socket.once('connect', () => {
			settle(true);
		});
		// Silence is no proof that the process has ended.
		socket.once('timeout', () => {
			settle(true);
		});
		socket.once('error', (error) => {
			settle(readErrorCode(error) !== 'ECONNREFUSED');
		});
	});
}

/** Tells whether a connection to an upstream is open; a full upstream must not be burdened with more. */
function hasOpenConnection({sent, agent}: LocalUpstream): boolean {
	const isSending = [...sent].some(
		({firstByteAt, phase}) => firstByteAt !== undefined && phase === 'sent',
	);
	return (
		isSending ||
		Object.values(agent.freeSockets).some((sockets = []) => sockets.length > 0)
	);
}

function describeJob({attempt}: Job) {
	const {requestId, method, path, origin} = attempt;
	const [pathWithoutQuery = ''] = path.split('?', 1);
	return {
		requestId,
		fingerprint: readFingerprint(attempt),
		method,
		path: pathWithoutQuery.slice(0, maxLoggedPathLength),
		origin,
	};
}

/**
 * Creates the crash detector of a gate.
 *
 * An upstream that is not leaving has crashed when requests lose their
 * connections and it then refuses new ones, or a later incarnation takes its
 * place, without a response in between. An upstream that resets connections
 * because it is full still accepts others, and goes on to respond.
 *
 * @param options - see `CrashDetectorOptions`
 * @returns the detector
 */
export function createCrashDetector(
	options: CrashDetectorOptions,
): CrashDetector {
	const {logger, idPrefix, onCrash, now} = options;
	let lastNumber = 0;

	/** Removes the jobs that no longer explain a crash. */
	function expireEnded({endedJobs}: LocalUpstream): void {
		const at = now();
		for (const [job, {end, endedAt}] of endedJobs) {
			const maxAgeMs = end === 'aborted' ? maxAbortedAgeMs : maxEvidenceAgeMs;
			if (at - endedAt > maxAgeMs || endedJobs.size > maxEndedJobs) {
				endedJobs.delete(job);
			}
		}
	}

	function confirmCrash(
		upstream: LocalUpstream,
		evidence: 'refused' | 'replaced',
	): void {
		expireEnded(upstream);
		const jobs = [...upstream.endedJobs.keys()];
		const isLeaving =
			upstream.isLeaving || upstream.announcement.state === 'leaving';
		if (jobs.length === 0 || isLeaving) {
			return;
		}

		upstream.endedJobs.clear();
		upstream.crashId ??= `${idPrefix}.${++lastNumber}`;
		const {id, announcement, crashId} = upstream;
		const {service} = jobs[0]!.attempt;
		logger.warn('upstream crashed', {
			id,
			service,
			incarnation: announcement.incarnation,
			version: announcement.version,
			crash: crashId,
			evidence,
			running: jobs.map((job) => describeJob(job)),
		});
		onCrash(
			{id: crashId, service},
			upstream,
			jobs.map(({attempt}) => attempt),
		);
	}

	async function probe(upstream: LocalUpstream): Promise<void> {
		if (upstream.isCrashProbed) {
			return;
		}

		upstream.isCrashProbed = true;
		// A crash closes all connections at once; they are read one after the other.
		await waitForTurns(turnsToReadCloses);
		const isAlive =
			hasOpenConnection(upstream) ||
			(await isListeningAt(upstream.announcement.address));
		upstream.isCrashProbed = false;
		if (!isAlive) {
			confirmCrash(upstream, 'refused');
		}
	}

	return {
		recordEnd(job, end) {
			const {upstream} = job;
			const {endedJobs} = upstream;
			switch (end) {
				case 'answered': {
					if (endedJobs.size === 0 && upstream.crashId === undefined) {
						return;
					}

					// What ended before this job was sent has not ended the upstream.
					for (const [other, {endedAt}] of endedJobs) {
						if (endedAt < job.sentAt) {
							endedJobs.delete(other);
						}
					}

					upstream.crashId = undefined;
					return;
				}

				case 'lost': {
					endedJobs.set(job, {end, endedAt: now()});
					expireEnded(upstream);
					void probe(upstream);
					return;
				}

				case 'aborted': {
					endedJobs.set(job, {end, endedAt: now()});
					expireEnded(upstream);
					return;
				}

				case 'refused': {
					if (endedJobs.size > 0) {
						void probe(upstream);
					}

					return;
				}

				case 'replaced': {
					confirmCrash(upstream, 'replaced');
				}
			}
		},
		recordReplacement(upstream) {
			confirmCrash(upstream, 'replaced');
		},
	};
}
