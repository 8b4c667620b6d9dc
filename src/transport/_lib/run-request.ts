import {Readable} from 'node:stream';
import {
	initialRequestState,
	type RequestEffect,
	type RequestMessage,
	type RequestParameters,
} from '../../coordination/request-state.js';
import {isAwaitingResult} from '../../coordination/is-awaiting-result.js';
import {stepRequest} from '../../coordination/step-request.js';
import type {Attempt, ForwardResult} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {
	askAfterMs,
	deadlineMarginMs,
	timerToleranceMs,
} from '../../protocol/constants.js';
import type {OutcomeReason} from '../../protocol/request.js';
import {computeRefusalDelay} from './compute-refusal-delay.js';
import {createCancelSource, type CancelSource} from './create-cancel-source.js';
import type {GateClient} from './gate-client.js';
import {readFingerprint} from './read-fingerprint.js';
import type {UpstreamResponse} from './send-upstream-response.js';
import {
	startPostPollTimer,
	type PostPollTimer,
} from './start-post-poll-timer.js';

/** Properties shared by all attempts of a request. */
export type AttemptTemplate = Omit<
	Attempt,
	| 'id'
	| 'remainingMs'
	| 'expiresAt'
	| 'objectiveMs'
	| 'version'
	| 'stamp'
	| 'createdAtGateMs'
	| 'notice'
	| 'signal'
	| 'traceparent'
	| 'onSend'
	| 'onKeepalive'
	| 'onUnanswered'
> & {
	/** Prefix of the attempts' identifiers. */
	readonly idPrefix: string;
};

/** Options of `runRequest`. */
export type RunRequestOptions = {
	readonly parameters: RequestParameters;
	readonly template: AttemptTemplate;
	/** Aborted when the client has disconnected. */
	readonly signal: CancelSignal;
	/** Picks the gate of the next attempt; returns the reason if there is none. */
	readonly pickGate: () => GateClient | OutcomeReason;
	readonly createTraceparent: () => string | undefined;
	/** Called with each attempt that has ended. */
	readonly onAttemptEnd: (end: AttemptEnd) => void;
	/** Whether there is an untried host that is not known to be full. */
	readonly hasAvailableHost: () => boolean;
	/** Whether there is an untried host; true when absent. */
	readonly hasUntriedHost?: () => boolean;
	/** Whether the request is known to crash its upstreams; false when absent. */
	readonly isQuarantined?: () => boolean;
	/** Returns the shortest wait under the hosts' rate limits, ms; 0 when absent. */
	readonly readRateLimitWait?: () => number;
	readonly readRetryBudget: () => number;
	readonly spendRetryBudget: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
	readonly random: () => number;
};

/** An attempt that has ended, with its result. */
export type AttemptEnd = {
	readonly number: number;
	readonly gate: GateClient;
	readonly attempt: Attempt;
	readonly result: ForwardResult;
	readonly startedAt: number;
	/** When its first byte could be sent to the gate, monotonic ms; undefined when it was not, or when the gate is local. */
	readonly firstByteAt: number | undefined;
};

/** The end of a request. */
export type RequestEnd = {
	readonly attempts: number;
	/** Returns the fingerprint of the request; undefined when its body was not read. */
	readonly readFingerprint: () => string | undefined;
} & (
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
	/** When the first byte could be sent to the gate, monotonic ms; undefined until then. */
	firstByteAt: number | undefined;
	/** Whether its upstream does not seem to work on it. */
	isUnanswered: boolean;
	/** Fires when nothing has been received for some time; undefined when the gate is local. */
	livenessTimer: PostPollTimer | undefined;
};

/**
 * Runs a request to its single final outcome. `stepRequest` makes the decisions;
 * this function performs their effects.
 *
 * @param options - see `RunRequestOptions`
 * @returns the end of the request; does not reject
 */
export async function runRequest(
	options: RunRequestOptions,
): Promise<RequestEnd> {
	const {parameters, template, signal, now} = options;
	const {endsAt = parameters.deadlineAt} = parameters;
	let state = initialRequestState;
	const openAttempts = new Map<number, OpenAttempt>();
	let response: UpstreamResponse | undefined;
	let waitTimer: NodeJS.Timeout | undefined;

	return new Promise((resolve) => {
		function dispatch(message: RequestMessage): void {
			const context = {
				parameters,
				now: now(),
				random: options.random(),
				// Getters, so that each is computed only if a decision needs it.
				get budget() {
					return options.readRetryBudget();
				},
				get isQuarantined() {
					return options.isQuarantined?.() ?? false;
				},
				get hasAvailableHost() {
					return options.hasAvailableHost();
				},
				get hasUntriedHost() {
					return options.hasUntriedHost?.() ?? true;
				},
			};
			const step = stepRequest(state, message, context);
			state = step.state;
			for (const effect of step.effects) {
				performEffect(effect);
			}
		}

		function performEffect(effect: RequestEffect): void {
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
					void fetchResponse(effect.attempt);
					break;
				}

				case 'wait': {
					waitTimer = setTimeout(dispatch, effect.durationMs, {
						kind: 'delay-elapsed',
					});
					break;
				}

				case 'abandon': {
					abandon(effect.attempt, effect.cancel);
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
				// An earlier attempt has consumed part of the body.
				dispatch({kind: 'no-host', reason: 'not-sent'});
				return;
			}

			const before = sameHost ? openAttempts.get(number - 1) : undefined;
			const gate = before ? before.gate : options.pickGate();
			if (typeof gate === 'string') {
				dispatch({kind: 'no-host', reason: gate});
				return;
			}

			const stamp = gate.readStamp();
			const hasStamp = stamp !== undefined;
			const startedAt = now();
			const controller = createCancelSource();
			const leftMs = parameters.deadlineAt - startedAt;
			const remainingMs = Math.max(leftMs / 2, leftMs - deadlineMarginMs);
			const attempt: Attempt = {
				...template,
				id: `${template.idPrefix}/${number}`,
				remainingMs,
				expiresAt: startedAt + remainingMs,
				objectiveMs: Math.max(
					0,
					(parameters.objectiveAt ?? parameters.deadlineAt) - startedAt,
				),
				version: gate.version,
				stamp,
				createdAtGateMs: gate.readGateTime(startedAt),
				notice: gate.readNotice(),
				signal: controller.signal,
				traceparent: options.createTraceparent(),
				onSend: gate.isLocal
					? undefined
					: () => {
							opened.firstByteAt = now();
							dispatch({kind: 'sent', attempt: number, hasStamp});
						},
				onKeepalive: gate.isLocal
					? undefined
					: () => {
							opened.livenessTimer?.refresh();
						},
				onUnanswered() {
					opened.isUnanswered = true;
					dispatch({kind: 'unanswered', attempt: number});
				},
			};
			const opened: OpenAttempt = {
				gate,
				attempt,
				controller,
				firstByteAt: undefined,
				isUnanswered: false,
				livenessTimer: undefined,
			};
			openAttempts.set(number, opened);
			if (gate.isLocal) {
				dispatch({kind: 'sent', attempt: number, hasStamp});
			} else {
				opened.livenessTimer = startPostPollTimer(() => {
					dispatch({kind: 'silent', attempt: number});
				}, askAfterMs);
			}

			void runAttempt(number, opened, startedAt);
		}

		async function runAttempt(
			number: number,
			opened: OpenAttempt,
			startedAt: number,
		): Promise<void> {
			const {gate, attempt} = opened;
			const result = await gate.runAttempt(attempt);
			const {firstByteAt, livenessTimer} = opened;
			livenessTimer?.stop();
			options.onAttemptEnd({
				number,
				gate,
				attempt,
				result: describeResult(opened, result, {
					isAnswered: response !== undefined,
					hasClientLeft: signal.aborted,
				}),
				startedAt,
				firstByteAt,
			});
			handleResult(number, result, attempt.stamp !== undefined);
		}

		function handleResult(
			number: number,
			result: ForwardResult,
			hadStamp: boolean,
		): void {
			if (result.kind === 'lost') {
				const {reason} = result;
				dispatch({kind: 'lost', attempt: number, reason, hadStamp});
				return;
			}

			if (result.kind !== 'answered') {
				const {kind, reason, retryAfterSeconds: retryAfter} = result;
				dispatch({
					kind: 'ended',
					attempt: number,
					outcome: kind,
					reason,
					retryAfterSeconds: retryAfter,
				});
				return;
			}

			const isAwaited =
				state.attempts === number || state.earlier.includes(number);
			if (state.phase === 'done' || !isAwaited) {
				discardResponse(result);
				return;
			}

			response = result;
			dispatch({kind: 'answered', attempt: number});
		}

		async function ask(number: number): Promise<void> {
			const {gate, attempt} = openAttempts.get(number)!;
			const {id, stamp} = attempt;
			const known = await gate.ask({id, stamp});
			dispatch(
				known === 'failed'
					? {kind: 'ask-failed', attempt: number}
					: {kind: 'ask-answered', attempt: number, answer: known},
			);
		}

		async function fetchResponse(number: number): Promise<void> {
			const {gate, attempt, controller} = openAttempts.get(number)!;
			const remainingMs = endsAt - now();
			const result = await gate.fetchAnswer(
				attempt.id,
				remainingMs,
				controller.signal,
			);
			switch (result.kind) {
				case 'lost': {
					dispatch({kind: 'fetch-lost', attempt: number});
					break;
				}

				case 'answered': {
					handleResult(number, result, true);
					break;
				}

				case 'not-run':
				case 'unknown': {
					const {kind: outcome, reason, retryAfterSeconds} = result;
					dispatch({
						kind: 'fetch-ended',
						attempt: number,
						outcome,
						reason,
						retryAfterSeconds,
					});
				}
			}
		}

		function abandon(number: number, shouldCancel: boolean): void {
			const {gate, attempt, controller, livenessTimer} =
				openAttempts.get(number)!;
			livenessTimer?.stop();
			controller.abort();
			if (shouldCancel && !attempt.repeatable) {
				void gate.cancel({id: attempt.id, stamp: attempt.stamp});
			}
		}

		function finish(effect: RequestEffect & {kind: 'finish'}): void {
			for (const {livenessTimer} of openAttempts.values()) {
				livenessTimer?.stop();
			}

			clearTimeout(waitTimer);
			sendTimer.stop();
			deadlineTimer.stop();
			signal.removeEventListener('abort', cancel);
			const {attempts} = state;
			const readTemplateFingerprint = (): string | undefined =>
				readFingerprint(template);
			if (effect.outcome === 'answered') {
				resolve({
					outcome: 'answered',
					answer: response!,
					attempts,
					readFingerprint: readTemplateFingerprint,
				});
				return;
			}

			resolve({
				outcome: effect.outcome,
				reason: effect.reason!,
				retryAfterSeconds:
					effect.retryAfterSeconds ??
					computeRefusalDelay({
						parameters,
						routeObjectiveMs: template.routeObjectiveMs,
						rateLimitWaitMs: options.readRateLimitWait?.() ?? 0,
						now: now(),
						random: options.random(),
					}),
				attempts,
				readFingerprint: readTemplateFingerprint,
			});
		}

		function cancel(): void {
			dispatch({kind: 'cancelled'});
		}

		const sendTimer = startPostPollTimer(
			() => {
				if (!isAwaitingResult(state)) {
					dispatch({kind: 'deadline'});
				}
			},
			Math.max(0, parameters.deadlineAt - now()),
		);
		const deadlineTimer = startPostPollTimer(
			() => {
				dispatch({kind: 'deadline'});
			},
			Math.max(0, Math.ceil(endsAt - now()) + timerToleranceMs),
		);
		if (signal.aborted) {
			// The client has left while the body was read or a stamp was fetched.
			cancel();
			return;
		}

		signal.addEventListener('abort', cancel);
		dispatch({kind: 'start'});
	});
}

/** Reasons why an attempt may be abandoned while its host works on it. */
type AbandonCause = {
	/** Whether another attempt at the request was answered. */
	readonly isAnswered: boolean;
	readonly hasClientLeft: boolean;
};

/**
 * Describes the end of an attempt. One that was abandoned because its answer was
 * no longer needed has no result of its own, so that it is no evidence about its
 * host, unless its upstream did not seem to work on it.
 */
function describeResult(
	{controller, isUnanswered}: OpenAttempt,
	result: ForwardResult,
	{isAnswered, hasClientLeft}: AbandonCause,
): ForwardResult {
	const isUnneeded = isAnswered || hasClientLeft;
	if (!controller.signal.aborted || !isUnneeded) {
		return result;
	}

	switch (result.kind) {
		case 'answered': {
			return result;
		}

		case 'not-run': {
			return result.reason === 'not-sent'
				? {...result, reason: 'cancelled'}
				: result;
		}

		case 'unknown':
		case 'lost': {
			const reason = isAnswered && isUnanswered ? 'unanswered' : 'cancelled';
			return {...result, reason};
		}
	}
}

function discardResponse({body}: UpstreamResponse): void {
	if (body instanceof Readable) {
		body.destroy();
	}
}
