import {
	initialRequestState,
	type RequestEffect,
	type RequestMessage,
} from '../../../src/coordination/request-state.js';
import {
	askAfterMs,
	askTimeoutMs,
	deadlineMarginMs,
} from '../../../src/protocol/constants.js';
import type {GateStamp} from '../../../src/protocol/stamp.js';
import {receiveAttempt, receiveFetch, receiveQuestion} from './fake-gate.js';
import {sendToCaller, sendToGate, openConnection} from './fake-network.js';
import {
	deadlineMs,
	type FakeAttempt,
	type FakeHost,
	type FakeRequest,
	type FakeResult,
	type Simulation,
} from './simulation.js';

type OpenAttempt = {
	readonly number: number;
	readonly host: FakeHost;
	readonly attempt: FakeAttempt;
};

/** Gate stamps cached by the caller's node, by host name. */
export type StampCache = Map<string, GateStamp>;

/**
 * Starts a request at the caller's node, which runs it with the product's
 * state machine over the simulated network.
 *
 * @param simulation - the simulation of the case
 * @param id - identifier of the request
 * @param stamps - stamps cached by the node; updated with each response
 * @returns the request
 */
export function startRequest(
	simulation: Simulation,
	id: string,
	stamps: StampCache,
): FakeRequest {
	const {scheduler, mechanisms, repeatable, hosts} = simulation;
	const startedAt = scheduler.now();
	const tried = new Set<string>();
	let state = initialRequestState;
	let open: OpenAttempt | undefined;
	let body: string | undefined;
	const request: FakeRequest = {
		id,
		startedAt,
		ends: [],
		isCancelled: false,
		cancel() {
			request.isCancelled = true;
			dispatch({kind: 'cancelled'});
		},
	};

	function dispatch(message: RequestMessage): void {
		if (!simulation.isCallerAlive) {
			return;
		}

		const step = mechanisms.stepRequest(state, message, {
			parameters: {
				repeatable,
				isNested: false,
				maxAttempts: 3,
				deadlineAt: startedAt + deadlineMs,
			},
			now: scheduler.now(),
			random: scheduler.random(),
			budget: 10,
		});
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}
	}

	function runEffect(effect: RequestEffect): void {
		switch (effect.kind) {
			case 'send': {
				startAttempt(effect.attempt, effect.sameHost);
				break;
			}

			case 'ask': {
				ask(open!);
				break;
			}

			case 'fetch': {
				fetchAnswer(open!);
				break;
			}

			case 'wait': {
				scheduler.schedule(effect.durationMs, () => {
					dispatch({kind: 'delay-elapsed'});
				});
				break;
			}

			case 'abandon':
			case 'spend-budget': {
				break;
			}

			case 'finish': {
				const {outcome} = effect;
				const at = scheduler.now();
				request.ends.push({
					outcome,
					body: outcome === 'answered' ? body : undefined,
					at,
				});
				break;
			}
		}
	}

	function pick(): FakeHost {
		const candidates = hosts.map(({name}) => ({
			host: name,
			address: name,
			dataCentre: 'abdali',
			slots: 2,
			sinceMs: 0,
		}));
		const options = {dataCentre: 'abdali', now: scheduler.now()};
		const picked =
			mechanisms.pickHost(candidates, new Map(), scheduler.random, {
				...options,
				exclude: tried,
			}) ??
			mechanisms.pickHost(candidates, new Map(), scheduler.random, options);
		tried.add(picked!.host);
		return hosts.find(({name}) => name === picked!.host)!;
	}

	function startAttempt(number: number, sameHost: boolean): void {
		simulation.onStep(number === 1 ? 'pick' : 'retry', id, {host: open?.host});
		const host = sameHost && open ? open.host : pick();
		const attempt: FakeAttempt = {
			id: `${id}/${number}`,
			requestId: id,
			remainingMs: startedAt + deadlineMs - scheduler.now() - deadlineMarginMs,
			repeatable,
			stamp: stamps.get(host.name),
		};
		open = {number, host, attempt};
		send(open);
	}

	function send(current: OpenAttempt): void {
		const {number, host, attempt} = current;
		const connection = openConnection(simulation, host, () => {
			dispatch({
				kind: 'lost',
				attempt: number,
				reason: 'connection-lost',
				hadStamp: attempt.stamp !== undefined,
			});
		});
		if (!connection) {
			scheduler.schedule(1, () => {
				const ending = {outcome: 'not-run', reason: 'not-sent'} as const;
				dispatch({kind: 'ended', attempt: number, ...ending});
			});
			return;
		}

		dispatch({
			kind: 'sent',
			attempt: number,
			hasStamp: attempt.stamp !== undefined,
		});
		simulation.onStep('send', id, {host, connection});
		const deliver = (): void => {
			receiveAttempt(simulation, host, attempt, (result) => {
				simulation.onStep('relay', id, {host, connection});
				const stamp = host.ledger.readStamp(scheduler.now());
				sendToCaller(simulation, connection, () => {
					stamps.set(host.name, stamp);
					handleResult(current, result);
				});
			});
		};

		sendToGate(simulation, connection, deliver);
		for (const delayMs of simulation.duplicateDelaysMs) {
			scheduler.schedule(delayMs, deliver);
		}

		scheduler.schedule(askAfterMs, () => {
			dispatch({kind: 'silent', attempt: number});
		});
	}

	function handleResult(
		current: OpenAttempt,
		result: FakeResult,
		endKind: 'ended' | 'fetch-ended' = 'ended',
	): void {
		const attempt = current.number;
		const isAwaited =
			state.attempts === attempt || state.earlier.includes(attempt);
		if (state.phase === 'done' || !isAwaited) {
			return;
		}

		if (result.kind === 'answered') {
			body = result.body;
			dispatch({kind: 'answered', attempt});
		} else {
			const {kind, reason} = result;
			dispatch({kind: endKind, attempt, outcome: kind, reason});
		}
	}

	function ask({number, host, attempt}: OpenAttempt): void {
		let isSettled = false;
		const end = (message: RequestMessage): void => {
			if (!isSettled) {
				isSettled = true;
				dispatch(message);
			}
		};

		const fail = (): void => {
			end({kind: 'ask-failed', attempt: number});
		};

		const connection = openConnection(simulation, host, fail);
		scheduler.schedule(connection ? askTimeoutMs : 1, fail);
		if (connection) {
			sendToGate(simulation, connection, () => {
				receiveQuestion(simulation, host, attempt, (answer) => {
					sendToCaller(simulation, connection, () => {
						end({kind: 'ask-answered', attempt: number, answer});
					});
				});
			});
		}
	}

	function fetchAnswer(current: OpenAttempt): void {
		const {number, host, attempt} = current;
		const fail = (): void => {
			dispatch({kind: 'fetch-lost', attempt: number});
		};

		const connection = openConnection(simulation, host, fail);
		if (!connection) {
			scheduler.schedule(1, fail);
			return;
		}

		sendToGate(simulation, connection, () => {
			receiveFetch(simulation, host, attempt.id, (result) => {
				sendToCaller(simulation, connection, () => {
					handleResult(current, result, 'fetch-ended');
				});
			});
		});
	}

	simulation.requests.push(request);
	simulation.onStep('route', id, {});
	scheduler.schedule(deadlineMs, () => {
		dispatch({kind: 'deadline'});
	});
	dispatch({kind: 'start'});
	return request;
}
