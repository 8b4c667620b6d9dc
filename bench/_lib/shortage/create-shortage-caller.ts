import {computeRequestAge} from '../../../src/coordination/compute-request-age.js';
import {computeSocketWait} from '../../../src/coordination/compute-socket-wait.js';
import {computeUnreadTime} from '../../../src/coordination/compute-unread-time.js';
import {
	stepUsualDeadline,
	type UsualDeadline,
} from '../../../src/coordination/step-usual-deadline.js';
import {
	stepRetryBudget,
	type RetryBudget,
	type RetryBudgetOptions,
} from '../../../src/coordination/step-retry-budget.js';
import {
	responseMarginMs,
	responseMarginRatio,
} from '../../../src/protocol/constants.js';
import type {ClientAnswer, ClientTry} from './client-try.js';
import type {
	AcceptedRequest,
	EventLoop,
	LoopWork,
} from './create-event-loop.js';
import type {ShortageAttempt} from './shortage-attempt.js';
import type {ShortageRouter} from './create-shortage-router.js';
import {runShortageRequest} from './run-shortage-request.js';
import type {
	NodeAdmission,
	NodeInput,
	ShortageDecisions,
} from './shortage-decisions.js';
import type {RequestClass, StepCosts} from './shortage-parameters.js';

type AnswerClient = (answer: ClientAnswer) => void;

/** Options of `createShortageCaller`. */
export type ShortageCallerOptions = {
	readonly loop: EventLoop;
	readonly router: ShortageRouter;
	readonly decisions: ShortageDecisions;
	readonly admission: NodeAdmission;
	readonly costs: StepCosts;
	/** Runs an attempt at the gate of a host. */
	readonly runAttempt: (host: string, attempt: ShortageAttempt) => void;
	/** Retries that the node may make, by its service. */
	readonly retryBudget: RetryBudgetOptions;
	readonly now: () => number;
	readonly random: () => number;
	readonly onRead: () => void;
};

/** A caller's node in virtual time. */
export type ShortageCaller = {
	/** Handles a client's request that can be read. */
	read(
		clientTry: ClientTry,
		answer: AnswerClient,
		accepted?: AcceptedRequest,
	): LoopWork;
};

/**
 * Creates a caller's node in virtual time round the product's decisions.
 *
 * @param options - see `ShortageCallerOptions`
 * @returns the node
 */
export function createShortageCaller(
	options: ShortageCallerOptions,
): ShortageCaller {
	const {loop, router, decisions, admission, costs, now, random} = options;
	const usualDeadlines = new Map<string, UsualDeadline>();
	const budgets = new Map<string, RetryBudget>();

	function stepBudget(
		service: string,
		message: 'request' | 'retry' | 'tick',
	): number {
		const budget = stepRetryBudget(
			budgets.get(service),
			message,
			now(),
			options.retryBudget,
		);
		budgets.set(service, budget);
		return budget.tokens;
	}

	/** Computes the time left to meet the objective, ms. */
	function computeObjectiveMs(
		{name, objectiveMs}: RequestClass,
		deadlineMs: number,
	): number {
		const usual = stepUsualDeadline(usualDeadlines.get(name), deadlineMs);
		usualDeadlines.set(name, usual);
		return Math.max(0, objectiveMs - computeRequestAge(usual, deadlineMs));
	}

	function createInput(clientTry: ClientTry, objectiveMs: number): NodeInput {
		const {requestClass, isCall, deadlineMs} = clientTry;
		return {
			lagMs: loop.readLag(),
			busyShare: loop.readBusyShare(),
			deferred: loop.readDeferred(),
			className: requestClass.name,
			priority: requestClass.priority,
			isCall,
			makesCalls: requestClass.calls !== undefined,
			ageMs: requestClass.objectiveMs - objectiveMs,
			now: now(),
			maxHostLagMs: router.readMaxLag(),
			objectiveMs,
			remainingMs: deadlineMs,
			random: random(),
		};
	}

	function refuse(answer: AnswerClient, input: NodeInput): LoopWork {
		return {
			costMs: costs.refusedReadMs + costs.refuseMs,
			finish() {
				answer({
					status: 503,
					reason: 'lag at the caller',
					retryAfterMs: admission.computeRetryAfterMs(input),
				});
			},
		};
	}

	function start(
		clientTry: ClientTry,
		answer: AnswerClient,
		times: {
			readonly readAt: number;
			readonly startedAt: number;
			readonly earliestAt: number;
			readonly objectiveMs: number;
		},
	): void {
		const {requestClass, deadlineMs} = clientTry;
		const {service} = requestClass;
		const marginMs = Math.min(
			responseMarginMs,
			deadlineMs * responseMarginRatio,
		);
		const deadlineAt = times.earliestAt + deadlineMs - marginMs;
		stepBudget(service, 'request');
		runShortageRequest({
			clientTry,
			answer(given) {
				admission.recordOutcome?.(
					requestClass.name,
					given.status === 200 && now() <= times.startedAt + times.objectiveMs,
				);
				const {status, retryAfterMs = 0} = given;
				answer(
					status === 503 && admission.reviseRetryAfterMs
						? {
								...given,
								retryAfterMs: admission.reviseRetryAfterMs(
									createInput(clientTry, times.objectiveMs),
									retryAfterMs,
								),
							}
						: given,
				);
			},
			loop,
			router,
			costs,
			runAttempt: options.runAttempt,
			deadlineAt,
			endsAt: Math.max(deadlineAt, times.readAt + deadlineMs),
			objectiveAt: Math.min(deadlineAt, times.startedAt + times.objectiveMs),
			admissionClass:
				times.objectiveMs < requestClass.objectiveMs / 2
					? `${requestClass.name} aged`
					: requestClass.name,
			hasRetries: decisions.hasRetries,
			readBudget: () => stepBudget(service, 'tick'),
			spendBudget() {
				stepBudget(service, 'retry');
			},
			now,
			random,
		});
	}

	return {
		read(clientTry, answer, accepted) {
			clientTry.isRead = true;
			options.onRead();
			if (clientTry.hasLeft) {
				return {costMs: costs.refusedReadMs};
			}

			const {requestClass, deadlineMs} = clientTry;
			const objectiveMs = computeObjectiveMs(requestClass, deadlineMs);
			const lagMs = Math.max(loop.readLag(), accepted?.acceptWaitMs ?? 0);
			const input = {...createInput(clientTry, objectiveMs), lagMs};
			if (!admission.decideCaller(input)) {
				return refuse(answer, input);
			}

			const readAt = now();
			const socketWaitMs = computeSocketWait(
				loop.readMaxWait(),
				accepted && {
					acceptWaitMs: accepted.acceptWaitMs,
					readableMs: readAt - accepted.releasedAt,
				},
			);
			const times = {
				readAt,
				startedAt: readAt - computeUnreadTime(lagMs),
				earliestAt: readAt - computeUnreadTime(socketWaitMs),
				objectiveMs,
			};
			const {computeRank} = decisions;
			if (!computeRank) {
				return {
					costMs: costs.readMs + costs.startMs,
					finish() {
						start(clientTry, answer, times);
					},
				};
			}

			return {
				costMs: costs.readMs,
				finish() {
					loop.defer(computeRank(input), () => {
						if (clientTry.hasLeft) {
							return undefined;
						}

						return {
							costMs: costs.startMs,
							finish() {
								start(clientTry, answer, times);
							},
						};
					});
				},
			};
		},
	};
}
