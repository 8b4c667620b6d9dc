import {Readable} from 'node:stream';
import {
	initialRequestState,
	type RequestEffect,
	type RequestMessage,
	type RequestParameters,
} from '../../coordination/request-state.js';
import {computeRetryAfter} from '../../coordination/compute-retry-after.js';
import {stepRequest} from '../../coordination/step-request.js';
import type {Attempt, ForwardResult} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {
	askAfterMs,
	busyRetryMs,
	deadlineMarginMs,
	usualObjectivePart,
} from '../../protocol/constants.js';
import type {OutcomeReason} from '../../protocol/request.js';
import {createCancelSource, type CancelSource} from './create-cancel-source.js';
import type {GateClient} from './gate-client.js';
import type {UpstreamResponse} from './send-upstream-response.js';
import {
	startPostPollTimer,
	type PostPollTimer,
} from './start-post-poll-timer.js';

/** What of an attempt is the same for all attempts of a request. */
export type AttemptTemplate = Omit<
	Attempt,
	| 'id'
	| 'remainingMs'
	| 'objectiveMs'
	| 'stamp'
	| 'madeAtGateMs'
	| 'notice'
	| 'signal'
	| 'traceparent'
	| 'onSend'
	| 'onSignOfLife'
> & {
	/** First part of the identifiers of the attempts. */
	readonly idPrefix: string;
};

/** Options of `runRequest`. */
export type RunRequestOptions = {
	readonly parameters: RequestParameters;
	readonly template: AttemptTemplate;
	/** Aborted when the client has gone. */
	readonly signal: CancelSignal;
	/** Picks the gate of the next attempt, or says why there is none. */
	readonly pickGate: () => GateClient | OutcomeReason;
	readonly createTraceparent: () => string | undefined;
	/** Told of each attempt that has ended. */
	readonly onAttemptEnd: (end: AttemptEnd) => void;
	/** Whether a host that was not tried is not known to be full. */
	readonly hasAvailableHost: () => boolean;
	/** Least time until a host may take a request under the rate limits, ms; 0 when absent. */
	readonly readRateLimitWait?: () => number;
	readonly readRetryBudget: () => number;
	readonly spendRetryBudget: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
	readonly random: () => number;
};

/** One attempt that has ended. */
export type AttemptEnd = {
	readonly number: number;
	readonly gate: GateClient;
	readonly attempt: Attempt;
	readonly result: ForwardResult;
	readonly startedAt: number;
};

/** The end of a request. */
export type RequestEnd = {readonly attempts: number} & (
	| {readonly outcome: 'answered'; readonly answer: UpstreamResponse}
	| {
			readonly outcome: 'not-run' | 'unknown';
			readonly reason: OutcomeReason;
			readonly retryAfterSeconds: number;
	  }
);

type OpenAttempt = {
	readonly gate: GateClient;
	readonly attempt: Attempt;
	readonly controller: CancelSource;
};

/**
 * Runs a request to its one final outcome, by the decisions of `stepRequest`.
 *
 * @param options - see `RunRequestOptions`
 * @returns the end of the request; does not reject
 */
export async function runRequest(
	options: RunRequestOptions,
): Promise<RequestEnd> {
	const {parameters, template, signal, now} = options;
	let state = initialRequestState;
	let open: OpenAttempt | undefined;
	let answer: UpstreamResponse | undefined;
	let silenceTimer: PostPollTimer | undefined;
	let waitTimer: NodeJS.Timeout | undefined;

	return new Promise((resolve) => {
		function tell(message: RequestMessage): void {
			const context = {
				parameters,
				now: now(),
				random: options.random(),
				// Read only where a decision needs them.
				get budget() {
					return options.readRetryBudget();
				},
				get hasAvailableHost() {
					return options.hasAvailableHost();
				},
			};
			const step = stepRequest(state, message, context);
			state = step.state;
			for (const effect of step.effects) {
				perform(effect);
			}
		}

		function perform(effect: RequestEffect): void {
			switch (effect.kind) {
				case 'send': {
					startAttempt(effect.attempt, effect.sameHost);
					break;
				}

				case 'ask': {
					void ask(effect.attempt);
					break;
				}

				case 'fetch': {
					void fetchAnswer(effect.attempt);
					break;
				}

				case 'wait': {
					waitTimer = setTimeout(tell, effect.durationMs, {
						kind: 'delay-elapsed',
					});
					break;
				}

				case 'abandon': {
					abandon(effect.cancel);
					break;
				}

				case 'spend-budget': {
					options.spendRetryBudget();
					break;
				}

				case 'finish': {
					finish(effect);
					break;
				}
			}
		}

		function startAttempt(number: number, sameHost: boolean): void {
			const {body} = template;
			if (body instanceof Readable && body.readableDidRead) {
				// An earlier attempt has taken a part of it.
				tell({kind: 'no-host', reason: 'not-sent'});
				return;
			}

			const gate = sameHost && open ? open.gate : options.pickGate();
			if (typeof gate === 'string') {
				tell({kind: 'no-host', reason: gate});
				return;
			}

			const stamp = gate.readStamp();
			const hasStamp = stamp !== undefined;
			const startedAt = now();
			const controller = createCancelSource();
			const remainingMs = parameters.deadlineAt - startedAt;
			const attempt: Attempt = {
				...template,
				id: `${template.idPrefix}/${number}`,
				remainingMs: Math.max(remainingMs / 2, remainingMs - deadlineMarginMs),
				objectiveMs: Math.max(
					0,
					(parameters.objectiveAt ?? parameters.deadlineAt) - startedAt,
				),
				stamp,
				madeAtGateMs: gate.readGateTime(startedAt),
				notice: gate.readNotice(),
				signal: controller.signal,
				traceparent: options.createTraceparent(),
				onSend: gate.isLocal
					? undefined
					: () => {
							tell({kind: 'sent', attempt: number, hasStamp});
						},
				onSignOfLife: gate.isLocal
					? undefined
					: () => {
							silenceTimer?.refresh();
						},
			};
			open = {gate, attempt, controller};
			silenceTimer?.stop();
			if (gate.isLocal) {
				tell({kind: 'sent', attempt: number, hasStamp});
			} else {
				silenceTimer = startPostPollTimer(() => {
					tell({kind: 'silent', attempt: number});
				}, askAfterMs);
			}

			void runAttempt(number, open, startedAt);
		}

		async function runAttempt(
			number: number,
			{gate, attempt}: OpenAttempt,
			startedAt: number,
		): Promise<void> {
			const result = await gate.runAttempt(attempt);
			options.onAttemptEnd({number, gate, attempt, result, startedAt});
			handleResult(number, result, attempt.stamp !== undefined);
		}

		function handleResult(
			number: number,
			result: ForwardResult,
			hadStamp: boolean,
		): void {
			if (result.kind === 'lost') {
				const {reason} = result;
				tell({kind: 'lost', attempt: number, reason, hadStamp});
				return;
			}

			if (result.kind !== 'answered') {
				const {kind, reason, retryAfterSeconds: retryAfter} = result;
				tell({
					kind: 'ended',
					attempt: number,
					outcome: kind,
					reason,
					retryAfterSeconds: retryAfter,
				});
				return;
			}

			if (state.phase === 'done' || state.attempts !== number) {
				dropAnswer(result);
				return;
			}

			answer = result;
			tell({kind: 'answered', attempt: number});
		}

		async function ask(number: number): Promise<void> {
			const {gate, attempt} = open!;
			const {id, stamp} = attempt;
			const known = await gate.ask({id, stamp});
			tell(
				known === 'failed'
					? {kind: 'ask-failed', attempt: number}
					: {kind: 'ask-answered', attempt: number, answer: known},
			);
		}

		async function fetchAnswer(number: number): Promise<void> {
			const {gate, attempt, controller} = open!;
			const remainingMs = parameters.deadlineAt - now();
			const result = await gate.fetchAnswer(
				attempt.id,
				remainingMs,
				controller.signal,
			);
			if (result.kind === 'lost') {
				tell({kind: 'fetch-lost', attempt: number});
			} else {
				handleResult(number, result, true);
			}
		}

		function abandon(shouldCancel: boolean): void {
			const {gate, attempt, controller} = open!;
			controller.abort();
			if (shouldCancel && !attempt.repeatable) {
				void gate.cancel({id: attempt.id, stamp: attempt.stamp});
			}
		}

		function finish(effect: RequestEffect & {kind: 'finish'}): void {
			silenceTimer?.stop();
			clearTimeout(waitTimer);
			deadlineTimer.stop();
			signal.removeEventListener('abort', cancel);
			const {attempts} = state;
			if (effect.outcome === 'answered') {
				resolve({outcome: 'answered', answer: answer!, attempts});
				return;
			}

			resolve({
				outcome: effect.outcome,
				reason: effect.reason!,
				retryAfterSeconds: effect.retryAfterSeconds ?? computeDelay(),
				attempts,
			});
		}

		/** Computes when to come again after a refusal of which no gate knows. */
		function computeDelay(): number {
			const {deadlineAt, objectiveAt = deadlineAt} = parameters;
			const at = now();
			return computeRetryAfter({
				waitMs: Math.max(busyRetryMs, options.readRateLimitWait?.() ?? 0),
				serviceMs: (template.routeObjectiveMs ?? 0) * usualObjectivePart,
				objectiveMs: objectiveAt - at,
				remainingMs: Math.max(0, deadlineAt - at),
				random: options.random(),
				minDelayMs: busyRetryMs,
			});
		}

		function cancel(): void {
			tell({kind: 'cancelled'});
		}

		const deadlineTimer = startPostPollTimer(
			() => {
				tell({kind: 'deadline'});
			},
			Math.max(0, parameters.deadlineAt - now()),
		);
		signal.addEventListener('abort', cancel);
		tell({kind: 'start'});
	});
}

function dropAnswer({body}: UpstreamResponse): void {
	if (body instanceof Readable) {
		body.destroy();
	}
}
