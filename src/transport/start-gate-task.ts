import {Readable} from 'node:stream';
import {Pool} from 'undici';
import PQueue from 'p-queue';
import {isLedgerRecordExpired} from '../coordination/is-ledger-record-expired.js';
import {
	stepLedgerRecord,
	type LedgerMessage,
	type LedgerRecord,
	type LedgerStep,
} from '../coordination/step-ledger-record.js';
import type {Attempt, AttemptResult, GateLoad} from '../protocol/attempt.js';
import {ledgerRetentionMs, retryAfterSeconds} from '../protocol/constants.js';
import type {Announcement} from '../protocol/member.js';
import type {RequestObserver} from '../protocol/observer.js';
import {
	deadlineHeader,
	requestIdHeader,
	shedHeader,
	traceparentHeader,
	type OutcomeReason,
} from '../protocol/request.js';
import {copyHeaders} from './_lib/copy-headers.js';
import {readErrorCode} from './_lib/read-error-code.js';
import {waitMs} from './_lib/wait-ms.js';
import type {Logger} from './create-logger.js';

/** Options of `startGateTask`. */
export type GateTaskOptions = {
	readonly logger: Logger;
	readonly observer?: RequestObserver;
	readonly now?: () => number;
};

/** The task that alone sends requests to the upstreams on its host. */
export type GateTask = {
	announce(id: string, announcement: Announcement): void;
	withdraw(id: string): void;
	runAttempt(attempt: Attempt): Promise<AttemptResult>;
	/** Answers what is known of an attempt, fencing it when nothing is. */
	ask(id: string): LedgerRecord['kind'];
	/** Refuses new attempts and waits for those in flight. */
	drain(): Promise<void>;
	stop(): Promise<void>;
};

type LocalUpstream = {
	announcement: Announcement;
	readonly pool: Pool;
	readonly queue: PQueue;
	inFlight: number;
};

const queueSlotsRatio = 4;

/**
 * Starts the gate of a host.
 *
 * @param options - see `GateTaskOptions`
 * @returns the running task
 * @example
 * startGateTask({logger}).ask('unseen'); // 'fenced'
 */
export function startGateTask(options: GateTaskOptions): GateTask {
	const {logger, observer = {}, now = () => performance.now()} = options;
	const upstreams = new Map<string, LocalUpstream>();
	const ledger = new Map<string, LedgerRecord>();
	const active = new Set<Attempt>();
	let isDraining = false;

	function tellLedger(
		id: string,
		message: LedgerMessage,
	): LedgerStep['answer'] {
		const step = stepLedgerRecord(ledger.get(id), message, now());
		ledger.set(id, step.record);
		return step.answer;
	}

	function clearLedger(): void {
		for (const [id, record] of ledger) {
			if (isLedgerRecordExpired(record, now())) {
				ledger.delete(id);
			}
		}
	}

	function refuse(
		kind: 'not-run' | 'unknown',
		reason: OutcomeReason,
		load?: GateLoad,
	): AttemptResult {
		return {kind, reason, retryAfterSeconds, load};
	}

	function findUpstream(service: string): LocalUpstream | undefined {
		const ready = [...upstreams.values()].filter(
			({announcement}) =>
				announcement.state === 'ready' &&
				`${announcement.team}/${announcement.service}` === service,
		);
		return ready.toSorted((a, b) => a.inFlight - b.inFlight)[0];
	}

	function readLoad(upstream: LocalUpstream): GateLoad {
		return {
			inFlight: upstream.inFlight,
			queued: upstream.queue.size,
			slots: upstream.announcement.slots,
		};
	}

	async function sendAttempt(
		upstream: LocalUpstream,
		attempt: Attempt,
		deadlineAt: number,
	): Promise<AttemptResult> {
		const remainingMs = deadlineAt - now();
		if (remainingMs <= 0 || attempt.signal.aborted) {
			return refuse('not-run', 'deadline', readLoad(upstream));
		}

		if (tellLedger(attempt.id, 'start') !== 'run') {
			return refuse('not-run', 'fenced', readLoad(upstream));
		}

		upstream.inFlight++;
		try {
			const response = await upstream.pool.request({
				method: attempt.method,
				path: attempt.path,
				headers: {
					...copyHeaders(attempt.headers),
					'content-length': undefined,
					...(attempt.traceparent && {
						[traceparentHeader]: attempt.traceparent,
					}),
					[requestIdHeader]: attempt.requestId,
					[deadlineHeader]: String(Math.floor(remainingMs)),
				},
				body: attempt.body.length > 0 ? attempt.body : undefined,
				signal: AbortSignal.any([
					attempt.signal,
					AbortSignal.timeout(Math.ceil(remainingMs)),
				]),
			});
			const body = new Uint8Array(await response.body.arrayBuffer());
			if (response.statusCode === 503 && response.headers[shedHeader]) {
				const kind = attempt.sheddingMeansNotRun ? 'not-run' : 'unknown';
				return refuse(kind, 'shed', readLoad(upstream));
			}

			return {
				kind: 'answered',
				status: response.statusCode,
				headers: response.headers,
				body: Readable.from([body]),
				load: readLoad(upstream),
			};
		} catch (error) {
			logger.debug('attempt failed', {id: attempt.id, error: String(error)});
			return readErrorCode(error) === 'ECONNREFUSED'
				? refuse('not-run', 'not-sent', readLoad(upstream))
				: refuse('unknown', 'connection-lost', readLoad(upstream));
		} finally {
			upstream.inFlight--;
			tellLedger(attempt.id, 'finish');
		}
	}

	async function queueAttempt(
		attempt: Attempt,
		onStart: () => void,
	): Promise<AttemptResult> {
		if (isDraining) {
			return refuse('not-run', 'leaving');
		}

		const upstream = findUpstream(attempt.service);
		if (!upstream) {
			return refuse('not-run', 'no-upstream');
		}

		const {queue, announcement} = upstream;
		if (queue.size >= announcement.slots * queueSlotsRatio) {
			return refuse('not-run', 'saturated', readLoad(upstream));
		}

		const deadlineAt = now() + attempt.remainingMs;
		active.add(attempt);
		try {
			return await queue.add(async () => {
				onStart();
				return sendAttempt(upstream, attempt, deadlineAt);
			});
		} finally {
			active.delete(attempt);
		}
	}

	async function observeAttempt(attempt: Attempt): Promise<AttemptResult> {
		const startedAtMs = now();
		const traceparent = observer.createTraceparent
			? observer.createTraceparent(attempt.traceparent)
			: attempt.traceparent;
		let queuedMs = 0;
		const result = await queueAttempt({...attempt, traceparent}, () => {
			queuedMs = now() - startedAtMs;
		});
		observer.onGate?.({
			requestId: attempt.requestId,
			attemptId: attempt.id,
			team: attempt.team,
			service: attempt.service,
			outcome: result.kind,
			reason: result.kind === 'answered' ? undefined : result.reason,
			status: result.kind === 'answered' ? result.status : 0,
			startedAtMs,
			durationMs: now() - startedAtMs,
			queuedMs,
			parentTraceparent: attempt.traceparent,
			traceparent,
		});
		return result;
	}

	const timer = setInterval(clearLedger, ledgerRetentionMs / 10);

	return {
		announce(id, announcement) {
			const known = upstreams.get(id);
			if (known?.announcement.address === announcement.address) {
				known.announcement = announcement;
				return;
			}

			upstreams.set(id, {
				announcement,
				pool: new Pool(`http://${announcement.address}`, {
					connections: announcement.connections,
					pipelining: 1,
				}),
				queue: new PQueue({concurrency: announcement.slots}),
				inFlight: 0,
			});
		},
		withdraw(id) {
			const known = upstreams.get(id);
			upstreams.delete(id);
			void known?.pool.close();
		},
		runAttempt: observeAttempt,
		ask(id) {
			const step = stepLedgerRecord(ledger.get(id), 'ask', now());
			ledger.set(id, step.record);
			return step.record.kind;
		},
		async drain() {
			isDraining = true;
			while (active.size > 0) {
				await waitMs(10);
			}
		},
		async stop() {
			clearInterval(timer);
			await Promise.all(
				[...upstreams.values()].map(async ({pool}) => pool.destroy()),
			);
		},
	};
}
