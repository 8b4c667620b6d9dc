import type {LedgerStep} from '../../../src/coordination/step-ledger-record.js';
import {callUpstream, type UpstreamOutcome} from './fake-upstream.js';
import {
	slots,
	type FakeAttempt,
	type FakeHost,
	type FakeResult,
	type Simulation,
} from './simulation.js';

type Reply = (result: FakeResult) => void;

/** Runs an action at a gate: later while it is frozen, never when it has died. */
function runAtGate(
	world: Simulation,
	host: FakeHost,
	action: () => void,
): void {
	const {scheduler} = world;
	const {generation} = host;
	const run = (): void => {
		if (host.generation !== generation || !host.isGateAlive) {
			return;
		}

		if (scheduler.now() < host.gateFrozenUntil) {
			scheduler.schedule(host.gateFrozenUntil - scheduler.now(), run);
			return;
		}

		action();
	};

	run();
}

function settle(
	world: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	result: FakeResult,
): void {
	const {ledger, waiters} = host;
	const now = world.scheduler.now();
	if (result.kind === 'not-run') {
		ledger.refuse(attempt, now);
	} else if (world.repeatable) {
		ledger.end(attempt, now, 'forget');
	} else {
		const isWhole = result.kind === 'answered';
		const kept = isWhole ? {value: result.body, bytes: 1} : undefined;
		ledger.end(attempt, now, kept);
	}

	const waiting = waiters.get(attempt.id) ?? [];
	waiters.delete(attempt.id);
	for (const reply of waiting) {
		reply(result);
	}
}

function readEnd(requestId: string, end: UpstreamOutcome): FakeResult {
	switch (end) {
		case 'whole': {
			return {kind: 'answered', body: requestId};
		}

		case 'not-sent':
		case 'shed': {
			return {kind: 'not-run', reason: 'not-sent'};
		}

		case 'lost':
		case 'truncated': {
			return {kind: 'unknown', reason: 'deadline'};
		}
	}
}

function takeNext(host: FakeHost): void {
	while (host.inFlight < slots && host.queue.length > 0) {
		host.queue.shift()!.run();
	}
}

function enqueue(
	world: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
): void {
	const {scheduler} = world;
	const {requestId} = attempt;
	let phase: 'queued' | 'sent' | 'finished' = 'queued';
	const settleOnce = (result: FakeResult): void => {
		if (phase === 'finished') {
			return;
		}

		host.inFlight -= phase === 'sent' ? 1 : 0;
		phase = 'finished';
		settle(world, host, attempt, result);
		takeNext(host);
	};

	const {generation} = host;
	scheduler.schedule(attempt.remainingMs, () => {
		if (host.generation === generation) {
			runAtGate(world, host, () => {
				const kind = phase === 'queued' ? 'not-run' : 'unknown';
				settleOnce({kind, reason: 'deadline'});
			});
		}
	});
	const run = (): void => {
		if (phase !== 'queued') {
			return;
		}

		phase = 'sent';
		host.inFlight++;
		world.onStep('slot', requestId, {host});
		callUpstream(world, host, requestId, (end) => {
			if (host.generation === generation) {
				runAtGate(world, host, () => {
					settleOnce(readEnd(requestId, end));
				});
			}
		});
	};

	const refuse = (): void => {
		settleOnce({kind: 'not-run', reason: 'leaving'});
	};

	host.queue.push({run, refuse});
	world.onStep('queue', requestId, {host});
	runAtGate(world, host, () => {
		takeNext(host);
	});
}

/**
 * Gives an attempt to a gate, which answers as the gate task does.
 *
 * @param world - the case's world
 * @param host - the gate's host
 * @param attempt - the attempt
 * @param reply - told the result, perhaps never
 */
export function receiveAttempt(
	world: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: Reply,
): void {
	runAtGate(world, host, () => {
		world.onStep('admit', attempt.requestId, {host});
		const now = world.scheduler.now();
		const answer = host.ledger.admit(attempt, now);
		switch (answer) {
			case 'run': {
				admit(world, host, attempt, reply);
				break;
			}

			case 'stale': {
				reply({kind: 'not-run', reason: 'stale-stamp'});
				break;
			}

			case 'fenced': {
				reply({kind: 'not-run', reason: 'fenced'});
				break;
			}

			case 'running':
			case 'ended': {
				joinAttempt(host, attempt.id, reply);
				break;
			}
		}
	});
}

function admit(
	world: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: Reply,
): void {
	const admission = world.mechanisms.decideAdmission({
		state: host.isLeaving ? 'leaving' : 'ready',
		remainingMs: attempt.remainingMs,
		slots,
		inFlight: host.inFlight,
		queuedAhead: host.queue.length,
		queued: host.queue.length,
		teamQueued: host.queue.length,
		maxTeamQueued: host.queue.length,
		maxQueued: 8,
		serviceMs: host.serviceMs,
		meanServiceMs: host.serviceMs,
		waitMs: ((host.queue.length + 1) / slots) * host.serviceMs,
		lateWaitMs: ((host.queue.length + 1) / slots) * host.serviceMs,
		objectiveMs: attempt.remainingMs,
		utilization: 0,
	});
	if (admission.kind === 'refuse') {
		settle(world, host, attempt, {kind: 'not-run', reason: 'leaving'});
		reply({kind: 'not-run', reason: 'leaving'});
		return;
	}

	host.waiters.set(attempt.id, [reply]);
	enqueue(world, host, attempt);
}

function joinAttempt(host: FakeHost, id: string, reply: Reply): void {
	const waiting = host.waiters.get(id);
	if (waiting) {
		waiting.push(reply);
		return;
	}

	const kept = host.ledger.readAnswer(id);
	if (kept !== undefined) {
		reply({kind: 'answered', body: kept});
	} else if (host.ledger.isFenced(id)) {
		reply({kind: 'not-run', reason: 'fenced'});
	} else {
		reply({kind: 'unknown', reason: 'deadline'});
	}
}

/**
 * Asks a gate what became of an attempt.
 *
 * @param world - the case's world
 * @param host - the gate's host
 * @param attempt - the attempt
 * @param reply - told the answer, perhaps never
 */
export function receiveQuestion(
	world: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: (answer: LedgerStep['answer']) => void,
): void {
	runAtGate(world, host, () => {
		world.onStep('ask', attempt.requestId, {host});
		runAtGate(world, host, () => {
			reply(host.ledger.ask(attempt, world.scheduler.now()));
		});
	});
}

/**
 * Fetches an attempt's answer from a gate.
 *
 * @param world - the case's world
 * @param host - the gate's host
 * @param id - the attempt
 * @param reply - told the result, perhaps never
 */
export function receiveFetch(
	world: Simulation,
	host: FakeHost,
	id: string,
	reply: Reply,
): void {
	runAtGate(world, host, () => {
		joinAttempt(host, id, reply);
	});
}
