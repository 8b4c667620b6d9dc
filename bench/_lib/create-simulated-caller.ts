import type {Scheduler} from '../../harness/create-scheduler.js';
import {pickRandomHost} from '../../naive/pick-random-host.js';
import {pickHost} from '../../src/coordination/pick-host.js';
import {
	initialRequestState,
	type RequestEffect,
	type RequestMessage,
} from '../../src/coordination/request-state.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from '../../src/coordination/step-host-record.js';
import {stepRequest} from '../../src/coordination/step-request.js';
import {
	stepRetryBudget,
	type RetryBudget,
} from '../../src/coordination/step-retry-budget.js';
import type {Candidate} from '../../src/protocol/member.js';
import {computePercentile} from './compute-percentile.js';
import type {SimulatedGate, SimulatedResult} from './create-simulated-gate.js';

/** How a caller's node picks hosts and limits retries. */
export type Policy = {
	readonly name: string;
	readonly pick: 'random' | 'two-choices' | 'chosen';
	readonly hasBudget: boolean;
	readonly hasAdmission: boolean;
};

/** Options of `createSimulatedCaller`. */
export type SimulatedCallerOptions = {
	readonly scheduler: Scheduler;
	readonly policy: Policy;
	readonly candidates: readonly Candidate[];
	readonly gates: ReadonlyMap<string, SimulatedGate>;
	readonly deadlineMs: number;
};

/** A caller's node in virtual time. */
export type SimulatedCaller = {
	/** Runs a request; `finish` is told of its one outcome. */
	request(team: string, finish: (outcome: string) => void): void;
};

const linkMs = 0.3;
const maxAttempts = 3;

/**
 * Creates a caller's node in virtual time round the product's decisions.
 *
 * @param options - see `SimulatedCallerOptions`
 * @returns the caller, which knows nothing of the hosts' loads yet
 * @example
 * createSimulatedCaller(options).request('a', (outcome) => console.log(outcome));
 */
export function createSimulatedCaller(
	options: SimulatedCallerOptions,
): SimulatedCaller {
	const {scheduler, policy, candidates, gates, deadlineMs} = options;
	const {now, random} = scheduler;
	const records = new Map<string, HostRecord>();
	const inFlight = new Map<string, number>();
	let budget: RetryBudget | undefined;

	function pickTwoChoices(): Candidate {
		const first = pickRandomHost(candidates, random)!;
		const second = pickRandomHost(candidates, random)!;
		const isSecondLess =
			(inFlight.get(second.host) ?? 0) < (inFlight.get(first.host) ?? 0);
		return isSecondLess ? second : first;
	}

	function pick(tried: ReadonlySet<string>): Candidate {
		switch (policy.pick) {
			case 'random': {
				return pickRandomHost(candidates, random)!;
			}

			case 'two-choices': {
				return pickTwoChoices();
			}

			case 'chosen': {
				const place = {dataCentre: 'abdali', now: now()};
				return (
					pickHost(candidates, records, random, {...place, exclude: tried}) ??
					pickHost(candidates, records, random, place)!
				);
			}
		}
	}

	function noteHost(host: string, message: HostMessage): void {
		const change = message.kind === 'sent' ? 1 : -1;
		inFlight.set(host, (inFlight.get(host) ?? 0) + change);
		const latencies = [...records.values()]
			.map(({latencyMs}) => latencyMs)
			.filter((latencyMs) => latencyMs > 0);
		const context = {
			now: now(),
			random: random(),
			serviceLatencyMs: computePercentile(latencies, 50),
		};
		records.set(host, stepHostRecord(records.get(host), message, context));
	}

	function readBudget(): number {
		return policy.hasBudget
			? stepRetryBudget(budget, 'tick', now()).tokens
			: maxAttempts;
	}

	return {
		request(team, finish) {
			const deadlineAt = now() + deadlineMs;
			const tried = new Set<string>();
			let state = initialRequestState;
			budget = stepRetryBudget(budget, 'request', now());

			function tell(message: RequestMessage): void {
				const step = stepRequest(state, message, {
					parameters: {
						repeatable: true,
						isNested: false,
						maxAttempts,
						deadlineAt,
					},
					now: now(),
					random: random(),
					budget: readBudget(),
				});
				state = step.state;
				for (const effect of step.effects) {
					perform(effect);
				}
			}

			function perform(effect: RequestEffect): void {
				switch (effect.kind) {
					case 'send': {
						send(effect.attempt);
						break;
					}

					case 'wait': {
						scheduler.schedule(effect.durationMs, () => {
							tell({kind: 'delay-elapsed'});
						});
						break;
					}

					case 'spend-budget': {
						budget = stepRetryBudget(budget, 'retry', now());
						break;
					}

					case 'finish': {
						cancelDeadline();
						finish(effect.outcome);
						break;
					}

					case 'ask':
					case 'fetch':
					case 'abandon': {
						break;
					}
				}
			}

			function send(attempt: number): void {
				const {host} = pick(tried);
				const startedAt = now();
				tried.add(host);
				noteHost(host, {kind: 'sent'});
				tell({kind: 'sent', attempt, hasStamp: true});
				scheduler.schedule(linkMs, () => {
					gates.get(host)!.run(team, deadlineAt, (result) => {
						scheduler.schedule(linkMs, () => {
							endAttempt(host, attempt, startedAt, result);
						});
					});
				});
			}

			function endAttempt(
				host: string,
				attempt: number,
				startedAt: number,
				{kind, load}: SimulatedResult,
			): void {
				const latencyMs = now() - startedAt;
				noteHost(host, {kind: 'ended', outcome: kind, latencyMs, load});
				if (kind === 'answered') {
					tell({kind: 'answered', attempt});
					return;
				}

				const isRefused = kind === 'refused';
				tell({
					kind: 'ended',
					attempt,
					outcome: isRefused ? 'not-run' : 'unknown',
					reason: isRefused ? 'saturated' : 'connection-lost',
				});
			}

			const cancelDeadline = scheduler.schedule(deadlineMs, () => {
				tell({kind: 'deadline'});
			});
			tell({kind: 'start'});
		},
	};
}
