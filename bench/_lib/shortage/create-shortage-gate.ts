import {decideAdmission} from '../../../src/coordination/decide-admission.js';
import {computeRetryAfter} from '../../../src/coordination/compute-retry-after.js';
import {readServiceTime} from '../../../src/coordination/read-service-time.js';
import {readUtilization} from '../../../src/coordination/read-utilization.js';
import {stepUtilization} from '../../../src/coordination/step-utilization.js';
import {queueSlotsRatio} from '../../../src/protocol/constants.js';
import type {OutcomeReason} from '../../../src/protocol/request.js';
import {
	computeLocalOpenSlots,
	releaseSlot,
	takeNextJob,
} from '../../../src/transport/_lib/local-slots.js';
import {
	addToLocalQueue,
	computeLocalWait,
	countAhead,
	createLocalUpstream,
	findLongestQueue,
	readExpectedServiceTime,
	readLocalLoad,
	recordServiceTime,
	recordTimeMargin,
	removeFromLocalQueue,
	type Job,
} from '../../../src/transport/_lib/local-upstream.js';
import type {EventLoop, LoopWork} from './create-event-loop.js';
import type {ShortageUpstream} from './create-shortage-upstream.js';
import {createGateAttempt, createShortageJob} from './create-shortage-job.js';
import type {ShortageAttempt} from './shortage-attempt.js';
import type {NodeAdmission, ShortageDecisions} from './shortage-decisions.js';
import {
	slots,
	type RequestClass,
	type StepCosts,
} from './shortage-parameters.js';

/** Options of `createShortageGate`. */
export type ShortageGateOptions = {
	readonly loop: EventLoop;
	readonly upstream: ShortageUpstream;
	readonly decisions: ShortageDecisions;
	readonly admission: NodeAdmission;
	readonly costs: StepCosts;
	readonly now: () => number;
	readonly random: () => number;
};

/** A gate in virtual time. */
export type ShortageGate = {
	/** Handles an attempt that was read; `readMs` is what reading has cost. */
	handle(attempt: ShortageAttempt, readMs: number): LoopWork;
};

const team = '';
/**
 * Creates a gate in virtual time round the product's decisions and its record of
 * an upstream.
 *
 * @param options - see `ShortageGateOptions`
 * @returns the gate
 */
export function createShortageGate(options: ShortageGateOptions): ShortageGate {
	const {loop, upstream: server, decisions, costs, now, random} = options;
	const upstream = createLocalUpstream(
		'upstream',
		{
			team,
			service: 'upstream',
			address: '127.0.0.1:1',
			slots,
			connections: 64,
			state: 'ready',
		},
		now,
	);
	const attempts = new Map<Job, ShortageAttempt>();

	function endUnsent(
		attempt: ShortageAttempt,
		reason: OutcomeReason,
		retryAfterSeconds = 1,
	): void {
		attempt.onEnd({
			kind: 'not-run',
			reason,
			retryAfterSeconds,
			load: readLocalLoad(upstream, now()),
			lagMs: loop.readLag(),
		});
	}

	function drop(job: Job, reason: OutcomeReason): void {
		removeFromLocalQueue(job);
		job.phase = 'finished';
		loop.charge(costs.gateRefuseMs);
		endUnsent(attempts.get(job)!, reason);
		attempts.delete(job);
	}

	function dropWhere(isDropped: (job: Job) => boolean): void {
		for (const job of [...upstream.queued.values()].flat()) {
			if (isDropped(job)) {
				drop(job, 'saturated');
			}
		}
	}

	function recordDemand(serviceMs: number, objectiveMs: number): number {
		const at = now();
		if (serviceMs <= objectiveMs) {
			upstream.utilization = stepUtilization(
				upstream.utilization,
				serviceMs,
				at,
			);
		}

		const utilization = readUtilization(upstream.utilization, slots, at);
		if (utilization >= 1) {
			dropWhere(({isLate}) => isLate);
		}

		return utilization;
	}

	/** Admits an attempt to the queue; returns the refusal otherwise. */
	function admit(
		received: ShortageAttempt,
	):
		Job | {readonly reason: OutcomeReason; readonly retryAfterSeconds: number} {
		const attempt = createGateAttempt(
			received,
			decisions.hasGateAdmission,
			now(),
		);
		const {remainingMs, objectiveMs = remainingMs} = attempt;
		const {requestClass, isCall} = received;
		if (remainingMs <= 0) {
			return {reason: 'deadline', retryAfterSeconds: 1};
		}

		const isAdmitted = options.admission.decideGate({
			lagMs: loop.readLag(),
			busyShare: loop.readBusyShare(),
			deferred: loop.readDeferred(),
			className: requestClass.name,
			priority: requestClass.priority,
			isCall,
			makesCalls: requestClass.calls !== undefined,
			ageMs: 0,
			now: now(),
			maxHostLagMs: 0,
			objectiveMs,
			remainingMs,
			random: random(),
		});
		if (!isAdmitted) {
			return {reason: 'overloaded', retryAfterSeconds: 1};
		}

		const at = now();
		const dueAt = at + attempt.routeObjectiveMs!;
		const estimate = {
			...computeLocalWait(upstream, {priority: attempt.priority!, dueAt}, at),
			serviceMs: readExpectedServiceTime(upstream, attempt, at),
			meanServiceMs: readServiceTime(upstream.serviceTime, at),
		};
		if (!decisions.hasGateAdmission) {
			return upstream.queuedCount < slots * queueSlotsRatio
				? createShortageJob(
						attempt,
						upstream,
						{...estimate, serviceMs: 0, isLate: false},
						at,
					)
				: {reason: 'saturated', retryAfterSeconds: 0};
		}

		const utilization = recordDemand(estimate.serviceMs, objectiveMs);
		const admission = decideAdmission({
			state: 'ready',
			remainingMs,
			objectiveMs,
			...estimate,
			utilization,
			marginRatio: upstream.marginRatio,
			slots: computeLocalOpenSlots(upstream, team, at),
			inFlight: upstream.inFlight,
			queuedAhead: countAhead(upstream, team),
			queued: upstream.queuedCount,
			teamQueued: upstream.queuedCount,
			maxTeamQueued: findLongestQueue(upstream).length,
			maxQueued: slots * queueSlotsRatio,
		});
		return admission.kind === 'admit'
			? createShortageJob(
					attempt,
					upstream,
					{...estimate, isLate: admission.isLate},
					at,
				)
			: {
					reason: admission.reason,
					retryAfterSeconds: computeRetryAfter({
						...estimate,
						objectiveMs,
						remainingMs,
						random: random(),
					}),
				};
	}

	function startJobs(): void {
		if (upstream.queuedCount > 0 && upstream.inFlight < slots) {
			const at = now();
			dropWhere(({queueExpiresAt}) => at >= queueExpiresAt);
		}

		for (
			let job = takeNextJob(upstream, now());
			job;
			job = takeNextJob(upstream, now())
		) {
			startJob(job);
		}
	}

	function startJob(job: Job): void {
		const attempt = attempts.get(job)!;
		job.phase = 'sent';
		job.sentAt = now();
		attempt.onRun();
		server.run({
			requestClass: attempt.requestClass,
			deadlineAt: job.deadlineAt,
			onEnd(status) {
				loop.read(() => ({
					costMs: costs.gateAnswerMs,
					finish() {
						endJob(job, status);
					},
				}));
			},
		});
	}

	function endJob(job: Job, status: 'ok' | 'calls-failed' | 'deadline'): void {
		const at = now();
		const attempt = attempts.get(job)!;
		const load = readLocalLoad(upstream, at, attempt.requestClass.name);
		releaseSlot(job);
		recordServiceTime(upstream, attempt.requestClass.name, at - job.sentAt, at);
		recordTimeMargin(job, at);
		job.phase = 'finished';
		attempts.delete(job);
		attempt.onEnd({
			kind: 'answered',
			status: ({ok: 200, 'calls-failed': 500, deadline: 504} as const)[status],
			load,
			lagMs: loop.readLag(),
		});
		startJobs();
	}

	return {
		handle(attempt, readMs) {
			const admitted = admit(attempt);
			if (!('phase' in admitted)) {
				return {
					costMs: readMs + costs.gateRefuseMs,
					finish() {
						endUnsent(attempt, admitted.reason, admitted.retryAfterSeconds);
					},
				};
			}

			const job = admitted;
			attempts.set(job, attempt);
			addToLocalQueue(job);
			return {
				costMs: readMs + costs.gateSendMs,
				finish() {
					startJobs();
					if (job.phase === 'queued') {
						loop.startTimer(job.queueExpiresAt - now(), () => {
							if (job.phase === 'queued') {
								drop(job, 'saturated');
							}

							return {costMs: costs.timerMs};
						});
					}
				},
			};
		},
	};
}
