import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {computeRetryAfter} from '../../../src/coordination/compute-retry-after.js';
import {decideAdmission} from '../../../src/coordination/decide-admission.js';
import {readUtilization} from '../../../src/coordination/read-utilization.js';
import {stepUtilization} from '../../../src/coordination/step-utilization.js';
import type {Attempt, GateLoad} from '../../../src/protocol/attempt.js';
import type {OutcomeReason} from '../../../src/protocol/request.js';
import {
	computeAttemptEstimate,
	createAdmissionInput,
} from '../../../src/transport/_lib/attempt-estimate.js';
import type {CallMonitor} from '../../../src/transport/_lib/create-call-monitor.js';
import {
	recordPrecedence,
	selectPrecedence,
} from '../../../src/transport/_lib/nested-precedence.js';
import {
	releaseSlot,
	takeNextJob,
} from '../../../src/transport/_lib/local-slots.js';
import {
	addToLocalQueue,
	createLocalUpstream,
	findEvicted,
	readLocalLoad,
	recordServiceTime,
	recordTimeMargin,
	removeFromLocalQueue,
	type Job,
} from '../../../src/transport/_lib/local-upstream.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import {createShortageJob} from '../shortage/create-shortage-job.js';
import {
	slots,
	type RequestKind,
	type SheddingPolicy,
} from './shedding-parameters.js';

/** An attempt in virtual time. */
export type SheddingAttempt = {
	readonly kind: RequestKind;
	/** Monotonic ms. */
	readonly deadlineAt: number;
	readonly objectiveAt: number;
	/** Whether its caller's node has found that it is a call. */
	readonly isNested: boolean;
	readonly onEnd: (end: SheddingEnd) => void;
};

/** End of an attempt. */
export type SheddingEnd =
	| {
			readonly kind: 'refused';
			readonly reason: OutcomeReason;
			readonly retryAfterMs: number;
	  }
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly load: GateLoad;
	  };

/** Options of `createSheddingGate`. */
export type SheddingGateOptions = {
	readonly scheduler: Scheduler;
	readonly policy: SheddingPolicy;
	readonly calls: CallMonitor;
	/** Runs an attempt at the upstream; calls `onEnd` once with the status. */
	readonly run: (
		attempt: SheddingAttempt,
		onEnd: (status: number) => void,
	) => void;
};

/** A gate in virtual time. */
export type SheddingGate = {
	handle(attempt: SheddingAttempt): void;
	/** Returns the requests in flight and queued. */
	countWork(): number;
	setSlots(count: number): void;
};

const queueSlotsRatio = 4;
const msPerSecond = 1000;
const sample = createSampleAttempt();

/**
 * Creates a gate in virtual time round the decisions of the product and its
 * record of an upstream.
 *
 * @param options - see `SheddingGateOptions`
 * @returns the gate
 */
export function createSheddingGate(options: SheddingGateOptions): SheddingGate {
	const {scheduler, policy, calls, run} = options;
	const {now, random} = scheduler;
	const announcement = {
		team: sample.team,
		service: sample.service,
		address: '127.0.0.1:1',
		slots,
		connections: 64,
		state: 'ready',
	} as const;
	const upstream = createLocalUpstream('upstream', announcement, now);
	const attempts = new Map<Job, SheddingAttempt>();

	function createAttempt(attempt: SheddingAttempt): Attempt {
		const {kind, deadlineAt, objectiveAt, isNested} = attempt;
		const hasOrder = policy !== 'queue';
		return {
			...sample,
			route: kind.name,
			repeatable: kind.repeatable,
			isNested,
			priority: hasOrder ? kind.priority : 0,
			routeObjectiveMs: hasOrder ? kind.objectiveMs : 0,
			remainingMs: Math.max(0, deadlineAt - now()),
			objectiveMs: Math.max(0, objectiveAt - now()),
		};
	}

	function refuse(
		{onEnd}: SheddingAttempt,
		reason: OutcomeReason,
		retryAfterMs: number,
	): void {
		onEnd({kind: 'refused', reason, retryAfterMs});
	}

	function drop(job: Job): void {
		removeFromLocalQueue(job);
		job.phase = 'finished';
		const attempt = attempts.get(job)!;
		attempts.delete(job);
		refuse(attempt, 'saturated', msPerSecond);
	}

	function recordDemand(serviceMs: number, objectiveMs: number): number {
		if (serviceMs <= objectiveMs) {
			const {utilization} = upstream;
			upstream.utilization = stepUtilization(utilization, serviceMs, now());
		}

		const count = upstream.announcement.slots;
		const utilization = readUtilization(upstream.utilization, count, now());
		if (utilization >= 1) {
			for (const job of [...upstream.queued.values()].flat()) {
				if (job.isLate) {
					drop(job);
				}
			}
		}

		return utilization;
	}

	function enqueue(job: Job, received: SheddingAttempt): void {
		attempts.set(job, received);
		addToLocalQueue(job);
		startJobs();
		if (job.phase === 'queued') {
			scheduler.schedule(job.queueExpiresAt - now(), () => {
				if (job.phase === 'queued') {
					drop(job);
				}
			});
		}
	}

	/** Queues every attempt for which there is a place. */
	function handlePlainly(received: SheddingAttempt, attempt: Attempt): void {
		if (upstream.queuedCount >= slots * queueSlotsRatio) {
			refuse(received, 'saturated', 0);
			return;
		}

		const estimate = {serviceMs: 0, waitMs: 0, isLate: false};
		enqueue(createShortageJob(attempt, upstream, estimate, now()), received);
	}

	function handle(received: SheddingAttempt): void {
		const arrived = createAttempt(received);
		recordPrecedence(upstream, arrived, 'arrived', now());
		const attempt = selectPrecedence(upstream, arrived);
		const {remainingMs, objectiveMs = remainingMs} = attempt;
		if (policy === 'queue') {
			handlePlainly(received, attempt);
			return;
		}

		const estimate = computeAttemptEstimate(upstream, attempt, now());
		const utilization = recordDemand(estimate.serviceMs, objectiveMs);
		const context = {utilization, now: now()};
		const input = createAdmissionInput(upstream, attempt, estimate, context);
		const admission = decideAdmission(input);
		const isBegun = admission.kind === 'admit' && calls.decideRun(attempt);
		if (!isBegun) {
			const reason =
				admission.kind === 'admit' ? 'calls-saturated' : admission.reason;
			const seconds = computeRetryAfter({
				...estimate,
				objectiveMs: admission.kind === 'admit' ? 0 : objectiveMs,
				remainingMs,
				random: random(),
			});
			refuse(received, reason, seconds * msPerSecond);
			return;
		}

		if (admission.shouldEvict) {
			drop(findEvicted(upstream, attempt));
		}

		const {isLate} = admission;
		const job = createShortageJob(
			attempt,
			upstream,
			{...estimate, isLate},
			now(),
		);
		enqueue(job, received);
	}

	function endJob(job: Job, status: number): void {
		const received = attempts.get(job)!;
		attempts.delete(job);
		const at = now();
		releaseSlot(job);
		recordServiceTime(upstream, received.kind.name, at - job.sentAt, at);
		recordTimeMargin(job, at);
		job.phase = 'finished';
		const load = readLocalLoad(upstream, at, received.kind.name);
		calls.recordRunEnd(job, {
			kind: 'answered',
			status,
			headers: {},
			body: new Uint8Array(),
			load,
			stamp: undefined,
		});
		received.onEnd({kind: 'answered', status, load});
		startJobs();
	}

	function startJobs(): void {
		for (
			let job = takeNextJob(upstream, now());
			job;
			job = takeNextJob(upstream, now())
		) {
			const started = job;
			started.phase = 'sent';
			started.sentAt = now();
			calls.recordRunStart();
			recordPrecedence(upstream, started.attempt, 'started', now());
			run(attempts.get(started)!, (status) => {
				endJob(started, status);
			});
		}
	}

	return {
		handle,
		countWork: () => upstream.inFlight + upstream.queuedCount,
		setSlots(count) {
			upstream.announcement = {...announcement, slots: count};
			startJobs();
		},
	};
}
