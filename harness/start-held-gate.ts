import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import type {TestContext} from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {Attempt, AttemptResult} from '../src/protocol/attempt.js';
import type {Announcement} from '../src/protocol/member.js';
import {startServer} from '../src/transport/_lib/start-server.js';
import {
	startGateTask,
	type GateTaskOptions,
} from '../src/transport/start-gate-task.js';
import {createSampleAttempt} from './create-sample-attempt.js';
import {createSilentLogger} from './create-silent-logger.js';

type Headers = Readonly<Record<string, string>>;

/**
 * Starts a gate, whose clock the test moves, and an upstream that holds its requests until the test answers them.
 *
 * @param t - test at whose end both stop
 * @param changes - to the announcement of the upstream
 * @param options - of the gate
 * @returns both, with ways to send and to answer
 */
export async function startHeldGate(
	t: TestContext,
	changes: Partial<Announcement> = {},
	options: Partial<GateTaskOptions> = {},
) {
	let at = 1000;
	let lastId = 0;
	const held: ServerResponse[] = [];
	const left: string[] = [];
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		held.push(response);
	});
	const gate = startGateTask({
		logger: createSilentLogger(),
		now: () => at,
		random: () => 0.5,
		...options,
		onLeaving(id) {
			left.push(id);
		},
	});
	t.after(async () => {
		await gate.stop();
		await server.stop();
	});
	const announcement: Announcement = {
		team: '',
		service: 'registry',
		address: server.address,
		incarnation: 5,
		sequence: 1,
		slots: 6,
		connections: 10,
		state: 'ready',
		...changes,
	};
	gate.announce('i-1', announcement);

	/** Waits until the upstream holds so many requests. */
	async function waitUntilHeld(count: number): Promise<void> {
		while (held.length < count) {
			await waitForTurn();
		}
	}

	async function run(attempt: Partial<Attempt> = {}): Promise<AttemptResult> {
		lastId++;
		return gate.runAttempt(
			createSampleAttempt({
				id: `${lastId}/1`,
				remainingMs: 20_000,
				stamp: gate.readStamp(),
				...attempt,
			}),
		);
	}

	/** Sends an attempt and has it answered with headers. */
	async function exchange(headers: Headers): Promise<AttemptResult> {
		const count = held.length;
		const result = run();
		await waitUntilHeld(count + 1);
		answer(headers);
		return result;
	}

	/** Answers a request that is held, the oldest if not said otherwise. */
	function answer(headers: Headers = {}, index = 0): void {
		const [response] = held.splice(index, 1);
		assert.ok(response, 'no request is held');
		for (const [name, value] of Object.entries(headers)) {
			response.setHeader(name, value);
		}

		response.end('done');
	}

	return {
		gate,
		announcement,
		held,
		waitUntilHeld,
		left,
		run,
		exchange,
		answer,
		advance(durationMs: number) {
			at += durationMs;
			gate.announce('i-1', announcement);
		},
	};
}
