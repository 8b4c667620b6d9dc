import {
	initialRequestState,
	type RequestEffect,
	type RequestMessage,
} from '../../../src/coordination/request-state.js';
import {computeRetryAfter} from '../../../src/coordination/compute-retry-after.js';
import {isAwaitingResult} from '../../../src/coordination/is-awaiting-result.js';
import {stepRequest} from '../../../src/coordination/step-request.js';
import {
	busyRetryMs,
	deadlineMarginMs,
	defaultObjectiveRatio,
	maxAttempts,
	msPerSecond,
} from '../../../src/protocol/constants.js';
import type {ClientAnswer, ClientTry} from './client-try.js';
import type {EventLoop} from './create-event-loop.js';
import type {AttemptEnd, ShortageAttempt} from './shortage-attempt.js';
import type {ShortageRouter} from './create-shortage-router.js';
import type {StepCosts} from './shortage-parameters.js';

/** Options of `runShortageRequest`. */
export type ShortageRequestOptions = {
	readonly clientTry: ClientTry;
	readonly answer: (answer: ClientAnswer) => void;
	readonly loop: EventLoop;
	readonly router: ShortageRouter;
	readonly costs: StepCosts;
	readonly runAttempt: (host: string, attempt: ShortageAttempt) => void;
	readonly deadlineAt: number;
	readonly endsAt: number;
	readonly objectiveAt: number;
	readonly admissionClass: string;
	readonly hasRetries: boolean;
	readonly readBudget: () => number;
	readonly spendBudget: () => void;
	readonly now: () => number;
	readonly random: () => number;
};

/** Time after which a question to a gate that has gone is given up, ms. */
const askMs = 50;

/**
 * Runs a request at its caller's node in virtual time. `stepRequest` makes the
 * decisions.
 *
 * @param options - see `ShortageRequestOptions`
 */
export function runShortageRequest(options: ShortageRequestOptions): void {
	const {clientTry, answer, loop, router, costs, admissionClass, now, random} =
		options;
	const {deadlineAt, endsAt, objectiveAt, hasRetries} = options;
	const {requestClass} = clientTry;
	const tried = new Set<string>();
	let state = initialRequestState;
	let answeredStatus: 200 | 500 | 504 = 200;

	function tell(message: RequestMessage): void {
		const step = stepRequest(state, message, {
			parameters: {
				repeatable: requestClass.repeatable,
				isNested: false,
				maxAttempts: hasRetries ? maxAttempts : 1,
				deadlineAt,
				endsAt,
				objectiveAt,
			},
			now: now(),
			random: random(),
			get budget() {
				return options.readBudget();
			},
			get hasAvailableHost() {
				return (
					hasRetries && router.hasAvailable(requestClass, admissionClass, tried)
				);
			},
		});
		state = step.state;
		for (const effect of step.effects) {
			perform(effect);
		}
	}

	function startTimer(delayMs: number, message: RequestMessage): () => void {
		return loop.startTimer(delayMs, () => {
			tell(message);
			return {costMs: costs.timerMs};
		});
	}

	function perform(effect: RequestEffect): void {
		switch (effect.kind) {
			case 'send': {
				send(effect.attempt);
				break;
			}

			case 'wait': {
				startTimer(effect.durationMs, {kind: 'delay-elapsed'});
				break;
			}

			case 'spend-budget': {
				options.spendBudget();
				break;
			}

			case 'ask': {
				startTimer(askMs, {kind: 'ask-failed', attempt: effect.attempt});
				break;
			}

			case 'finish': {
				finish(effect);
				break;
			}

			case 'fetch':
			case 'abandon': {
				break;
			}
		}
	}

	function finish(effect: RequestEffect & {readonly kind: 'finish'}): void {
		cancelSend();
		cancelEnd();
		clientTry.onLeave = undefined;
		switch (effect.outcome) {
			case 'answered': {
				answer({status: answeredStatus});
				break;
			}

			case 'not-run': {
				loop.charge(costs.refuseMs);
				answer(
					hasRetries
						? {
								status: 503,
								reason: effect.reason,
								retryAfterMs:
									(effect.retryAfterSeconds ?? computeRetrySeconds()) *
									msPerSecond,
							}
						: {status: 502},
				);
				break;
			}

			case 'unknown': {
				loop.charge(costs.refuseMs);
				answer({status: hasRetries ? 504 : 502});
				break;
			}
		}
	}

	function computeRetrySeconds(): number {
		const at = now();
		return computeRetryAfter({
			waitMs: busyRetryMs,
			serviceMs: requestClass.objectiveMs * defaultObjectiveRatio,
			objectiveMs: objectiveAt - at,
			remainingMs: Math.max(0, deadlineAt - at),
			random: random(),
			minDelayMs: busyRetryMs,
		});
	}

	function send(attempt: number): void {
		const picked = router.pick(requestClass, admissionClass, tried);
		if (picked === undefined || picked === 'full') {
			const reason = picked === 'full' ? 'saturated' : 'pending';
			tell({kind: 'no-host', reason});
			return;
		}

		const sentAt = now();
		const leftMs = deadlineAt - sentAt;
		const remainingMs = Math.max(leftMs / 2, leftMs - deadlineMarginMs);
		tell({kind: 'sent', attempt, hasStamp: true});
		options.runAttempt(picked.host, {
			requestClass,
			isCall: clientTry.isCall,
			deadlineAt: sentAt + remainingMs,
			objectiveAt,
			onRun() {
				clientTry.onRun?.();
			},
			onEnd(end) {
				const latencyMs = now() - sentAt;
				router.recordEnd(picked.host, end, {
					requestClass,
					admissionClass,
					latencyMs,
				});
				endAttempt(attempt, end);
			},
		});
	}

	function endAttempt(attempt: number, end: AttemptEnd): void {
		switch (end.kind) {
			case 'answered': {
				answeredStatus = end.status;
				tell({kind: 'answered', attempt});
				break;
			}

			case 'lost': {
				const reason = 'connection-lost';
				tell({kind: 'lost', attempt, reason, hadStamp: true});
				break;
			}

			case 'not-run': {
				const {reason, retryAfterSeconds} = end;
				tell({
					kind: 'ended',
					attempt,
					outcome: 'not-run',
					reason,
					retryAfterSeconds,
				});
				break;
			}
		}
	}

	const cancelSend = loop.startTimer(Math.max(0, deadlineAt - now()), () => {
		if (!isAwaitingResult(state)) {
			tell({kind: 'deadline'});
		}

		return {costMs: costs.timerMs};
	});
	const cancelEnd = startTimer(Math.max(0, endsAt - now()) + 1, {
		kind: 'deadline',
	});
	clientTry.onLeave = () => {
		loop.read(() => {
			tell({kind: 'cancelled'});
			return {costMs: costs.timerMs};
		});
	};

	tell({kind: 'start'});
}
