import type {LedgerStep} from '../../../src/coordination/step-ledger-record.js';
import {callUpstream, type UpstreamOutcome} from './fake-upstream.js';
import {
	slots,
	type FakeAttempt,
	type FakeHost,
	type FakeResult,
	type Simulation,
} from './simulation.js';

type ReplyCallback = (result: FakeResult) => void;

/** Runs an action at a gate; delays it while frozen, drops it if killed. */
function runAtGate(
	simulation: Simulation,
	host: FakeHost,
	action: () => void,
): void {
	const {scheduler} = simulation;
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

function endAttempt(
	simulation: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	result: FakeResult,
): void {
	const {ledger, waiters} = host;
	const now = simulation.scheduler.now();
	if (result.kind === 'not-run') {
		ledger.refuse(attempt, now);
	} else if (simulation.repeatable) {
		ledger.end(attempt, now, 'forget');
	} else {
		const isComplete = result.kind === 'answered';
		const kept = isComplete ? {value: result.body, bytes: 1} : undefined;
		ledger.end(attempt, now, kept);
	}

	const waiting = waiters.get(attempt.id) ?? [];
	waiters.delete(attempt.id);
	for (const reply of waiting) {
		reply(result);
	}
}

function toResult(requestId: string, end: UpstreamOutcome): FakeResult {
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

function startQueued(host: FakeHost): void {
	while (host.inFlight < slots && host.queue.length > 0) {
		host.queue.shift()!.run();
	}
}

function enqueue(
	simulation: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
): void {
	const {scheduler} = simulation;
	const {requestId} = attempt;
	let phase: 'queued' | 'sent' | 'finished' = 'queued';
	const endOnce = (result: FakeResult): void => {
		if (phase === 'finished') {
			return;
		}

		host.inFlight -= phase === 'sent' ? 1 : 0;
		phase = 'finished';
		endAttempt(simulation, host, attempt, result);
		startQueued(host);
	};

	const {generation} = host;
	scheduler.schedule(attempt.remainingMs, () => {
		if (host.generation === generation) {
			runAtGate(simulation, host, () => {
				const kind = phase === 'queued' ? 'not-run' : 'unknown';
				endOnce({kind, reason: 'deadline'});
			});
		}
	});
	const run = (): void => {
		if (phase !== 'queued') {
			return;
		}

		phase = 'sent';
		host.inFlight++;
		simulation.onStep('slot', requestId, {host});
		callUpstream(simulation, host, requestId, (end) => {
			if (host.generation === generation) {
				runAtGate(simulation, host, () => {
					endOnce(toResult(requestId, end));
				});
			}
		});
	};

	const refuse = (): void => {
		endOnce({kind: 'not-run', reason: 'leaving'});
	};

	host.queue.push({run, refuse});
	simulation.onStep('queue', requestId, {host});
	runAtGate(simulation, host, () => {
		startQueued(host);
	});
}

/**
 * Delivers an attempt to a gate, which handles it as the gate task does.
 *
 * @param simulation - the simulation of the case
 * @param host - the gate's host
 * @param attempt - the attempt
 * @param reply - called with the result; not called if the gate fails
 */
export function receiveAttempt(
	simulation: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: ReplyCallback,
): void {
	runAtGate(simulation, host, () => {
		simulation.onStep('admit', attempt.requestId, {host});
		const now = simulation.scheduler.now();
		const answer = host.ledger.admit(attempt, now);
		switch (answer) {
			case 'run': {
				admit(simulation, host, attempt, reply);
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
	simulation: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: ReplyCallback,
): void {
	const admission = simulation.mechanisms.decideAdmission({
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
		endAttempt(simulation, host, attempt, {kind: 'not-run', reason: 'leaving'});
		reply({kind: 'not-run', reason: 'leaving'});
		return;
	}

	host.waiters.set(attempt.id, [reply]);
	enqueue(simulation, host, attempt);
}

function joinAttempt(host: FakeHost, id: string, reply: ReplyCallback): void {
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
 * Delivers a question to a gate about the state of an attempt.
 *
 * @param simulation - the simulation of the case
 * @param host - the gate's host
 * @param attempt - the attempt
 * @param reply - called with the answer; not called if the gate fails
 */
export function receiveQuestion(
	simulation: Simulation,
	host: FakeHost,
	attempt: FakeAttempt,
	reply: (answer: LedgerStep['answer']) => void,
): void {
	runAtGate(simulation, host, () => {
		simulation.onStep('ask', attempt.requestId, {host});
		runAtGate(simulation, host, () => {
			reply(host.ledger.ask(attempt, simulation.scheduler.now()));
		});
	});
}

/**
 * Delivers a request to a gate for the stored response of an attempt.
 *
 * @param simulation - the simulation of the case
 * @param host - the gate's host
 * @param id - identifier of the attempt
 * @param reply - called with the result; not called if the gate fails
 */
export function receiveFetch(
	simulation: Simulation,
	host: FakeHost,
	id: string,
	reply: ReplyCallback,
): void {
	runAtGate(simulation, host, () => {
		joinAttempt(host, id, reply);
	});
}
