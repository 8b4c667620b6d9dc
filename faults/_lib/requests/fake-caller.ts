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
	isAbandoned: boolean;
};

/** Stamps that the caller's node holds, by host name. */
export type StampCache = Map<string, GateStamp>;

/**
 * Starts a request at the caller's node, which runs it by the product's
 * decisions over the simulated network.
 *
 * @param world - the case's world
 * @param id - identifier of the request
 * @param stamps - stamps that the node holds; new ones are added
 * @returns the request
 */
export function startRequest(
	world: Simulation,
	id: string,
	stamps: StampCache,
): FakeRequest {
	const {scheduler, mechanisms, repeatable, hosts} = world;
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
			tell({kind: 'cancelled'});
		},
	};

	function tell(message: RequestMessage): void {
		if (!world.isCallerAlive) {
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
				ask(open!);
				break;
			}

			case 'fetch': {
				fetchAnswer(open!);
				break;
			}

			case 'wait': {
				scheduler.schedule(effect.durationMs, () => {
					tell({kind: 'delay-elapsed'});
				});
				break;
			}

			case 'abandon': {
				open!.isAbandoned = true;
				break;
			}

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
		world.onStep(number === 1 ? 'pick' : 'retry', id, {host: open?.host});
		const host = sameHost && open ? open.host : pick();
		const attempt: FakeAttempt = {
			id: `${id}/${number}`,
			requestId: id,
			remainingMs: startedAt + deadlineMs - scheduler.now() - deadlineMarginMs,
			repeatable,
			stamp: stamps.get(host.name),
		};
		open = {number, host, attempt, isAbandoned: false};
		send(open);
	}

	function send(current: OpenAttempt): void {
		const {number, host, attempt} = current;
		const connection = openConnection(world, host, () => {
			tell({
				kind: 'lost',
				attempt: number,
				reason: 'connection-lost',
				hadStamp: attempt.stamp !== undefined,
			});
		});
		if (!connection) {
			scheduler.schedule(1, () => {
				const ending = {outcome: 'not-run', reason: 'not-sent'} as const;
				tell({kind: 'ended', attempt: number, ...ending});
			});
			return;
		}

		tell({
			kind: 'sent',
			attempt: number,
			hasStamp: attempt.stamp !== undefined,
		});
		world.onStep('send', id, {host, connection});
		const deliver = (): void => {
			receiveAttempt(world, host, attempt, (result) => {
				world.onStep('relay', id, {host, connection});
				const stamp = host.ledger.readStamp(scheduler.now());
				sendToCaller(world, connection, () => {
					stamps.set(host.name, stamp);
					handleResult(current, result);
				});
			});
		};

		sendToGate(world, connection, deliver);
		for (const delayMs of world.duplicateDelaysMs) {
			scheduler.schedule(delayMs, deliver);
		}

		scheduler.schedule(askAfterMs, () => {
			tell({kind: 'silent', attempt: number});
		});
	}

	function handleResult(current: OpenAttempt, result: FakeResult): void {
		const attempt = current.number;
		if (state.phase === 'done' || state.attempts !== attempt) {
			return;
		}

		if (result.kind === 'answered') {
			body = result.body;
			tell({kind: 'answered', attempt});
		} else {
			const {kind, reason} = result;
			tell({kind: 'ended', attempt, outcome: kind, reason});
		}
	}

	function ask({number, host, attempt}: OpenAttempt): void {
		let isOver = false;
		const end = (message: RequestMessage): void => {
			if (!isOver) {
				isOver = true;
				tell(message);
			}
		};

		const fail = (): void => {
			end({kind: 'ask-failed', attempt: number});
		};

		const connection = openConnection(world, host, fail);
		scheduler.schedule(connection ? askTimeoutMs : 1, fail);
		if (connection) {
			sendToGate(world, connection, () => {
				receiveQuestion(world, host, attempt, (answer) => {
					sendToCaller(world, connection, () => {
						end({kind: 'ask-answered', attempt: number, answer});
					});
				});
			});
		}
	}

	function fetchAnswer(current: OpenAttempt): void {
		const {number, host, attempt} = current;
		const fail = (): void => {
			tell({kind: 'fetch-lost', attempt: number});
		};

		const connection = openConnection(world, host, fail);
		if (!connection) {
			scheduler.schedule(1, fail);
			return;
		}

		sendToGate(world, connection, () => {
			receiveFetch(world, host, attempt.id, (result) => {
				sendToCaller(world, connection, () => {
					handleResult(current, result);
				});
			});
		});
	}

	world.requests.push(request);
	world.onStep('route', id, {});
	scheduler.schedule(deadlineMs, () => {
		tell({kind: 'deadline'});
	});
	tell({kind: 'start'});
	return request;
}
