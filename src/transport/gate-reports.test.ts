/**
 * What upstreams report of themselves in their answers, kept by the gate.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {startHeldGate} from '../../harness/start-held-gate.js';
import type {Attempt, AttemptResult} from '../protocol/attempt.js';
import {emptyReport} from '../protocol/edge.js';
import type {Announcement} from '../protocol/member.js';
import {startServer} from './_lib/start-server.js';
import {startGateTask} from './start-gate-task.js';

const limitHeader = 'boragehitch-rate-limit';
const leavingHeader = 'boragehitch-leaving';

function describe(result: AttemptResult): string {
	return result.kind === 'answered'
		? 'answered'
		: `${result.kind} ${result.reason}`;
}

test('a request beyond the named limit is refused at once, with the time of its turn', async (t) => {
	const {run, exchange} = await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	const result = await run({objectiveMs: 200});
	assert.equal(describe(result), 'not-run limited');
	// Its turn comes in 500 ms, of which it can wait less than 200.
	const seconds = result.kind === 'not-run' ? result.retryAfterSeconds : 0;
	assert.ok(seconds >= 0.3 && seconds <= 0.5, String(seconds));
	assert.deepEqual(result.load?.notice, {
		id: 'i-1',
		incarnation: 5,
		isLeaving: false,
		rateLimit: {perSecond: 2, waitMs: 500},
	});
});

test('a request that can wait for its turn goes when it has come', async (t) => {
	const {run, exchange, held, advance, answer, waitUntilHeld} =
		await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	const waiting = run();
	assert.equal(held.length, 0);
	advance(500);
	await waitUntilHeld(1);

	answer();
	assert.equal(describe(await waiting), 'answered');
});

test('a node that goes on after a pause does not send a burst', async (t) => {
	const {run, exchange, held, advance, waitUntilHeld} = await startHeldGate(t);
	await exchange({[limitHeader]: '10'});
	const waiting = Array.from({length: 6}, async () => run());
	// They can wait for half a second only.
	advance(300);
	await waitUntilHeld(2);
	await waitForTurn();
	assert.equal(held.length, 2);
	assert.equal(waiting.length, 6);
});

test('a queue that was admitted before a limit is named is offered elsewhere', async (t) => {
	const {run, waitUntilHeld, answer} = await startHeldGate(t, {slots: 1});
	void run();
	await waitUntilHeld(1);
	const second = run({objectiveMs: 300});
	answer({[limitHeader]: '1'});
	assert.equal(describe(await second), 'not-run limited');
});

test('a limit ends with an answer to a request that was sent after it was named', async (t) => {
	const {run, exchange, advance, held, answer, waitUntilHeld} =
		await startHeldGate(t);
	const before = run();
	await waitUntilHeld(1);

	const [early] = held.splice(0);
	await exchange({[limitHeader]: '2'});
	// The answer to the earlier request was overtaken.
	early!.end('done');
	await before;
	assert.equal(describe(await run({objectiveMs: 200})), 'not-run limited');
	advance(500);
	await exchange({});
	const next = run({objectiveMs: 200});
	await waitUntilHeld(1);

	answer();
	assert.equal(describe(await next), 'answered');
});

test('a shed request that names no limit does not end it', async (t) => {
	const {run, exchange, waitUntilHeld, held, advance} = await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	advance(500);
	const shed = run();
	await waitUntilHeld(1);
	const [response] = held.splice(0);
	response!.statusCode = 503;
	response!.setHeader('boragehitch-shed', 'not-run');
	response!.end();
	assert.equal(describe(await shed), 'not-run shed');
	assert.equal(describe(await run({objectiveMs: 200})), 'not-run limited');
});

for (const value of ['', '-1', 'none', '1e9', '99999999']) {
	test(`a limit "${value}" is not taken for one`, async (t) => {
		const {exchange} = await startHeldGate(t);
		await exchange({[limitHeader]: value});
		assert.equal(describe(await exchange({})), 'answered');
	});
}

test('an upstream that says in an answer that it leaves takes no further request, whatever it announces', async (t) => {
	const {gate, announcement, exchange, run, left} = await startHeldGate(t);
	await exchange({[leavingHeader]: '1'});
	assert.deepEqual(left, ['i-1']);
	const late = {...announcement, sequence: 2};
	assert.equal(gate.reviseAnnouncement('i-1', late).state, 'leaving');
	gate.announce('i-1', late);
	assert.equal(describe(await run()), 'not-run leaving');
});

test('a refusal tells of an upstream that has announced that it leaves', async (t) => {
	const {gate, announcement, run} = await startHeldGate(t);
	gate.announce('i-1', {...announcement, sequence: 2, state: 'leaving'});
	const result = await run();
	assert.equal(describe(result), 'not-run leaving');
	assert.equal(result.load?.notice?.isLeaving, true);
});

test('what waits at an upstream that leaves is offered elsewhere, and what runs is answered', async (t) => {
	const {run, held, answer, waitUntilHeld} = await startHeldGate(t, {slots: 2});
	const running = [run(), run()];
	await waitUntilHeld(2);

	const waiting = run();
	answer({[leavingHeader]: '1'});
	assert.equal(describe(await waiting), 'not-run leaving');
	answer();
	const results = await Promise.all(running);
	assert.deepEqual(
		results.map((result) => describe(result)),
		['answered', 'answered'],
	);
});

test('a later life under the same identifier begins without limit and not leaving', async (t) => {
	const {gate, announcement, exchange, run, held, left, waitUntilHeld} =
		await startHeldGate(t);
	const before = run();
	await waitUntilHeld(1);

	const [early] = held.splice(0);
	await exchange({[limitHeader]: '0'});
	gate.announce('i-1', {...announcement, incarnation: 6, sequence: 0});
	assert.equal(describe(await exchange({})), 'answered');
	// A late answer of the earlier life says nothing of the later one.
	early!.setHeader(leavingHeader, '1');
	early!.end('done');
	await before;
	gate.announce('i-1', {...announcement, state: 'leaving'});
	assert.equal(describe(await exchange({})), 'answered');
	assert.deepEqual(left, []);
});

test('a gate that has started again learns from its callers what its upstream has said', async (t) => {
	const {run, exchange, left, waitUntilHeld} = await startHeldGate(t);
	const named = {perSecond: 2, waitMs: 0};
	const notice = {id: 'i-1', incarnation: 5, isLeaving: false};
	const other = {...notice, id: 'i-2', isLeaving: true};
	const earlier = {...notice, incarnation: 4, isLeaving: true};
	assert.equal(describe(await exchange({})), 'answered');
	// It has heard itself that there is no limit.
	void run({notice: {...notice, rateLimit: named}, objectiveMs: 200});
	await waitUntilHeld(1);
	void run({notice: other});
	void run({notice: earlier});
	assert.deepEqual(left, []);
	const result = await run({notice: {...notice, isLeaving: true}});
	assert.equal(describe(result), 'not-run leaving');
	assert.deepEqual(left, ['i-1']);
});

test('what another node knows of an earlier life ends with the first announcement of the next', async (t) => {
	const {gate, announcement, run, exchange} = await startHeldGate(t, {
		incarnation: undefined,
	});
	const notice = {id: 'i-1', incarnation: 5, isLeaving: true};
	assert.equal(describe(await run({notice})), 'not-run leaving');
	gate.announce('i-1', {...announcement, incarnation: 6});
	assert.equal(describe(await exchange({})), 'answered');
});

test('a gate that has heard nothing yet takes over the limit that a caller knows', async (t) => {
	const {gate, run} = await startHeldGate(t);
	// What the probe finds need not name all that answers to requests do.
	gate.handleReport('i-1', emptyReport);
	const rateLimit = {perSecond: 2, waitMs: 0};
	const notice = {id: 'i-1', incarnation: 5, isLeaving: false, rateLimit};
	const result = await run({notice, objectiveMs: 200});
	assert.equal(describe(result), 'not-run limited');
});
