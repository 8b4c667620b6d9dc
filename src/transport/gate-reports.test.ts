/**
 * Tests of how the gate applies the rate limits and leaving states that
 * upstreams report in their responses.
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

function formatOutcome(result: AttemptResult): string {
	return result.kind === 'answered'
		? 'answered'
		: `${result.kind} ${result.reason}`;
}

test('a request above the reported rate limit is refused at once, with the wait as retry delay', async (t) => {
	const {run, exchange} = await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	const result = await run({objectiveMs: 200});
	assert.equal(formatOutcome(result), 'not-run limited');
	// The rate limit wait is 500 ms, of which the request can wait less than 200 ms.
	const seconds = result.kind === 'not-run' ? result.retryAfterSeconds : 0;
	assert.ok(seconds >= 0.3 && seconds <= 0.5, String(seconds));
	assert.deepEqual(result.load?.notice, {
		id: 'i-1',
		incarnation: 5,
		isLeaving: false,
		rateLimit: {perSecond: 2, waitMs: 500},
	});
});

test('a request that can wait for the rate limit is sent after the wait', async (t) => {
	const {run, exchange, held, advance, answer, waitUntilHeld} =
		await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	const waiting = run();
	assert.equal(held.length, 0);
	advance(500);
	await waitUntilHeld(1);

	answer();
	assert.equal(formatOutcome(await waiting), 'answered');
});

test('a node that resumes after a pause does not send a burst', async (t) => {
	const {run, exchange, held, advance, waitUntilHeld} = await startHeldGate(t);
	await exchange({[limitHeader]: '10'});
	const waiting = Array.from({length: 6}, async () => run());
	// The requests can wait for at most half a second.
	advance(300);
	await waitUntilHeld(2);
	await waitForTurn();
	assert.equal(held.length, 2);
	assert.equal(waiting.length, 6);
});

test('a request that was queued before a rate limit is reported is refused, so that another host can run it', async (t) => {
	const {run, waitUntilHeld, answer} = await startHeldGate(t, {slots: 1});
	void run();
	await waitUntilHeld(1);
	const second = run({objectiveMs: 300});
	answer({[limitHeader]: '1'});
	assert.equal(formatOutcome(await second), 'not-run limited');
});

test('a rate limit ends with a response without one to a request that was sent after it was reported', async (t) => {
	const {run, exchange, advance, held, answer, waitUntilHeld} =
		await startHeldGate(t);
	const before = run();
	await waitUntilHeld(1);

	const [delayed] = held.splice(0);
	await exchange({[limitHeader]: '2'});
	// The response to the earlier request arrives after that to the later one.
	delayed!.end('done');
	await before;
	assert.equal(formatOutcome(await run({objectiveMs: 200})), 'not-run limited');
	advance(500);
	await exchange({});
	const next = run({objectiveMs: 200});
	await waitUntilHeld(1);

	answer();
	assert.equal(formatOutcome(await next), 'answered');
});

test('the response to a shed request without a rate limit does not end the limit', async (t) => {
	const {run, exchange, waitUntilHeld, held, advance} = await startHeldGate(t);
	await exchange({[limitHeader]: '2'});
	advance(500);
	const shed = run();
	await waitUntilHeld(1);
	const [response] = held.splice(0);
	response!.statusCode = 503;
	response!.setHeader('boragehitch-shed', 'not-run');
	response!.end();
	assert.equal(formatOutcome(await shed), 'not-run shed');
	assert.equal(formatOutcome(await run({objectiveMs: 200})), 'not-run limited');
});

for (const value of ['', '-1', 'none', '1e9', '99999999']) {
	test(`the value "${value}" is not accepted as a rate limit`, async (t) => {
		const {exchange} = await startHeldGate(t);
		await exchange({[limitHeader]: value});
		assert.equal(formatOutcome(await exchange({})), 'answered');
	});
}

test('an upstream that reports in a response that it is leaving gets no further requests, even if it announces itself as ready', async (t) => {
	const {gate, announcement, exchange, run, left} = await startHeldGate(t);
	await exchange({[leavingHeader]: '1'});
	assert.deepEqual(left, ['i-1']);
	const lateAnnouncement = {...announcement, sequence: 2};
	assert.equal(
		gate.reviseAnnouncement('i-1', lateAnnouncement).state,
		'leaving',
	);
	gate.announce('i-1', lateAnnouncement);
	assert.equal(formatOutcome(await run()), 'not-run leaving');
});

test('a refusal carries a notice about an upstream that has announced that it is leaving', async (t) => {
	const {gate, announcement, run} = await startHeldGate(t);
	gate.announce('i-1', {...announcement, sequence: 2, state: 'leaving'});
	const result = await run();
	assert.equal(formatOutcome(result), 'not-run leaving');
	assert.equal(result.load?.notice?.isLeaving, true);
});

test('requests queued for a leaving upstream are refused, and running ones are answered', async (t) => {
	const {run, held, answer, waitUntilHeld} = await startHeldGate(t, {slots: 2});
	const running = [run(), run()];
	await waitUntilHeld(2);

	const waiting = run();
	answer({[leavingHeader]: '1'});
	assert.equal(formatOutcome(await waiting), 'not-run leaving');
	answer();
	const results = await Promise.all(running);
	assert.deepEqual(
		results.map((result) => formatOutcome(result)),
		['answered', 'answered'],
	);
});

test('a later incarnation under the same identifier starts without a rate limit and not leaving', async (t) => {
	const {gate, announcement, exchange, run, held, left, waitUntilHeld} =
		await startHeldGate(t);
	const before = run();
	await waitUntilHeld(1);

	const [delayed] = held.splice(0);
	await exchange({[limitHeader]: '0'});
	gate.announce('i-1', {...announcement, incarnation: 6, sequence: 0});
	assert.equal(formatOutcome(await exchange({})), 'answered');
	// A late response of the earlier incarnation does not apply to the later one.
	delayed!.setHeader(leavingHeader, '1');
	delayed!.end('done');
	await before;
	gate.announce('i-1', {...announcement, state: 'leaving'});
	assert.equal(formatOutcome(await exchange({})), 'answered');
	assert.deepEqual(left, []);
});

test('a restarted gate learns from the notices of callers what its upstream has reported', async (t) => {
	const {run, exchange, left, waitUntilHeld} = await startHeldGate(t);
	const cachedRateLimit = {perSecond: 2, waitMs: 0};
	const notice = {id: 'i-1', incarnation: 5, isLeaving: false};
	const other = {...notice, id: 'i-2', isLeaving: true};
	const earlier = {...notice, incarnation: 4, isLeaving: true};
	assert.equal(formatOutcome(await exchange({})), 'answered');
	// The gate itself has received a response without a rate limit.
	void run({notice: {...notice, rateLimit: cachedRateLimit}, objectiveMs: 200});
	await waitUntilHeld(1);
	void run({notice: other});
	void run({notice: earlier});
	assert.deepEqual(left, []);
	const result = await run({notice: {...notice, isLeaving: true}});
	assert.equal(formatOutcome(result), 'not-run leaving');
	assert.deepEqual(left, ['i-1']);
});

test('a notice about an earlier incarnation ends with the first announcement of the next one', async (t) => {
	const {gate, announcement, run, exchange} = await startHeldGate(t, {
		incarnation: undefined,
	});
	const notice = {id: 'i-1', incarnation: 5, isLeaving: true};
	assert.equal(formatOutcome(await run({notice})), 'not-run leaving');
	gate.announce('i-1', {...announcement, incarnation: 6});
	assert.equal(formatOutcome(await exchange({})), 'answered');
});

test('a gate without a report of its own applies the rate limit in the notice of a caller', async (t) => {
	const {gate, run} = await startHeldGate(t);
	// A probe response may lack reports that responses to requests carry.
	gate.handleReport('i-1', emptyReport);
	const rateLimit = {perSecond: 2, waitMs: 0};
	const notice = {id: 'i-1', incarnation: 5, isLeaving: false, rateLimit};
	const result = await run({notice, objectiveMs: 200});
	assert.equal(formatOutcome(result), 'not-run limited');
});
