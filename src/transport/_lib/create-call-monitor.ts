import {computePriorityShare} from '../../coordination/shedding/compute-priority-share.js';
import {computeRunShare} from '../../coordination/shedding/compute-run-share.js';
import {stepBaseTime} from '../../coordination/shedding/step-base-time.js';
import {
	stepCallBalance,
	type CallBalance,
	type CallBalanceMessage,
} from '../../coordination/shedding/step-call-balance.js';
import {
	stepCallingRoute,
	type CallingRoute,
} from '../../coordination/shedding/step-calling-route.js';
import {
	stepIdleClock,
	type IdleClock,
} from '../../coordination/shedding/step-idle-clock.js';
import {
	stepNestedRoute,
	type NestedRoute,
} from '../../coordination/shedding/step-nested-route.js';
import type {Attempt, AttemptResult} from '../../protocol/attempt.js';
import type {CompiledRoute} from '../../protocol/request.js';
import {isNestedAttempt} from './is-nested-attempt.js';
import type {RequestEnd} from './run-request.js';

/** A nested call that a caller's node has handled. */
export type MonitoredCall = {
	readonly route: Pick<CompiledRoute, 'name' | 'objectiveMs'>;
	/** Monotonic ms. */
	readonly startedAt: number;
};

/** Run of an attempt at the local upstream. */
export type MonitoredRun = {
	readonly attempt: Pick<Attempt, 'route'>;
	/** Monotonic ms. */
	readonly sentAt: number;
};

/** Learns which requests are calls of the requests that run on the host, and how they fare. */
export type CallMonitor = {
	/** Records that the local upstream starts a run. */
	recordRunStart(): void;
	/** Records that a run has ended. */
	recordRunEnd(run: MonitoredRun, result: AttemptResult): void;
	/** Records the arrival of a request at the caller's node; returns whether it is a nested call. */
	recordArrival(route: string): boolean;
	/** Records the end of a nested call. */
	recordCallEnd(call: MonitoredCall, end: RequestEnd): void;
	/** Decides whether a run that the gate would admit is begun, by whether its calls can be served. */
	decideRun(
		attempt: Pick<Attempt, 'route' | 'priority' | 'isNested' | 'depth'>,
	): boolean;
	/** Returns the share of the runs that make calls that the node begins, 0 to 1. */
	readRunShare(): number;
	/** Returns the number of routes that are classified as nested calls. */
	countNestedRoutes(): number;
};

/** Lowest status by which an upstream says that it has failed. */
const serverErrorStatus = 500;

type TrackedRoute = {
	evidence: NestedRoute | undefined;
	/** Idle time of the upstream at the previous arrival, ms. */
	idleMs: number;
	/** Monotonic ms. */
	arrivedAt: number;
};

/**
 * Creates the monitor of the calls that the requests running on a host make.
 *
 * @param now - returns monotonic ms
 * @returns the monitor, which has seen nothing yet
 */
export function createCallMonitor(now: () => number): CallMonitor {
	const nestedRoutes = new Map<string, TrackedRoute>();
	const callingRoutes = new Map<string, CallingRoute>();
	const baseTimes = new Map<string, number>();
	/** Fractions of a run that each priority may still begin. */
	const credits = new Map<number, number>();
	let clock: IdleClock = {inFlight: 0, idleMs: 0, at: now()};
	let balance: CallBalance | undefined;
	let failedAt = Number.NEGATIVE_INFINITY;

	function countRun(priority: number, isBegun: boolean): void {
		const message: CallBalanceMessage = {kind: 'run', priority, isBegun};
		balance = stepCallBalance(balance, message, now());
	}

	/** Tells whether an answered call had no wait that its objective does not leave, or that is shorter than its work. */
	function isServedInTime(
		{route, startedAt}: MonitoredCall,
		at: number,
	): boolean {
		const {name, objectiveMs = Number.POSITIVE_INFINITY} = route;
		const durationMs = at - startedAt;
		const baseMs = stepBaseTime(baseTimes.get(name), durationMs);
		baseTimes.set(name, baseMs);
		return durationMs <= Math.max(2 * baseMs, objectiveMs);
	}

	function recordArrival(route: string): boolean {
		const at = now();
		clock = stepIdleClock(clock, 0, at);
		const {inFlight, idleMs} = clock;
		const tracked = nestedRoutes.get(route);
		if (!tracked) {
			nestedRoutes.set(route, {evidence: undefined, idleMs, arrivedAt: at});
			return false;
		}

		const sinceMs = at - tracked.arrivedAt;
		const idleShare = sinceMs > 0 ? (idleMs - tracked.idleMs) / sinceMs : 0;
		tracked.evidence = stepNestedRoute(tracked.evidence, {inFlight, idleShare});
		tracked.idleMs = idleMs;
		tracked.arrivedAt = at;
		return tracked.evidence.isNested;
	}

	return {
		recordRunStart() {
			clock = stepIdleClock(clock, 1, now());
		},
		recordRunEnd({attempt, sentAt}, result) {
			clock = stepIdleClock(clock, -1, now());
			const {route} = attempt;
			// Without any failed call, no evidence is needed.
			if (
				route === undefined ||
				result.kind !== 'answered' ||
				failedAt === Number.NEGATIVE_INFINITY
			) {
				return;
			}

			const evidence = stepCallingRoute(callingRoutes.get(route), {
				isExposed: failedAt >= sentAt,
				isFailed: result.status >= serverErrorStatus,
			});
			callingRoutes.set(route, evidence);
		},
		recordArrival,
		recordCallEnd(call, end) {
			const isAnswered = end.outcome === 'answered';
			if (!isAnswered && end.reason === 'cancelled') {
				// The run that made it no longer needs it.
				return;
			}

			const at = now();
			const isFailed = !isAnswered || end.answer.status >= serverErrorStatus;
			if (isFailed) {
				failedAt = at;
			}

			const message: CallBalanceMessage = isFailed
				? {kind: 'call-failed'}
				: {kind: 'call', isServed: isServedInTime(call, at)};
			balance = stepCallBalance(balance, message, at);
		},
		decideRun(attempt) {
			const {route, priority = 0} = attempt;
			const evidence =
				route === undefined ? undefined : callingRoutes.get(route);
			// A call that is refused costs as much as one whose own calls fail; the first run of the chain is held back instead.
			if (!evidence?.makesCalls || isNestedAttempt(attempt)) {
				return true;
			}

			const share = computePriorityShare(
				computeRunShare(balance, now()),
				balance?.wanted ?? new Map<number, number>(),
				priority,
			);
			const credit = Math.min(1, (credits.get(priority) ?? 0) + share);
			const isBegun = credit >= 1;
			credits.set(priority, isBegun ? credit - 1 : credit);
			countRun(priority, isBegun);
			return isBegun;
		},
		readRunShare: () => computeRunShare(balance, now()),
		countNestedRoutes: () =>
			[...nestedRoutes.values()].filter(({evidence}) => evidence?.isNested)
				.length,
	};
}
