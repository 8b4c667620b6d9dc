/**
 * Counts what a request takes of both nodes, whatever the speed of the machine.
 *
 * The bounds come from the targets of issue 44 and from what two plain forwarders
 * take in the same place: a served request costs at most 1.5 times as much as
 * there, a head and its body are one write, one timer serves many requests. A
 * refusal by the caller's node costs at most a quarter of a served request, so
 * that it can neither ask a gate nor start a timer of its own.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	fullRouteCount,
	startCountedPath,
	type CountedPath,
} from '../harness/start-counted-path.js';

const count = fullRouteCount;

/** Requests before those that are counted; they open connections and fetch stamps. */
const firstCount = 5;

/** Highest ratio of a served request's cost to that of the plain forwarder. */
const maxServedRatio = 1.5;

/** Number of requests for which one timer may be started: one timer for many requests. */
const requestsPerTimer = 10;

/** Lines of refused requests that a node's access log writes in a second, and one of the gate's refusals. */
const maxRefusalLines = 26;

/** Number of served requests for which one may be in the log; the access log samples one in 128. */
const requestsPerLine = 50;

/** Lines about one request at the caller's node: the request and its attempt. */
const linesPerRequest = 2;

function repeat(path: string): readonly string[] {
	return Array.from({length: count}, () => path);
}

/** Starts a path that has had its first requests. */
async function startPath(
	t: TestContext,
	kind: 'nodes' | 'plain',
): Promise<CountedPath> {
	const path = await startCountedPath(kind);
	t.after(async () => path.stop());
	const firstPaths = kind === 'nodes' ? ['/prices/1', '/local/1'] : ['/any/1'];
	for (const first of firstPaths) {
		await path.run(Array.from({length: firstCount}, () => first));
	}

	return path;
}

/** Counts requests that all get one answer. */
async function countRequests(
	path: CountedPath,
	paths: readonly string[],
	expected: string,
) {
	const {answers, counts} = await path.run(paths);
	assert.deepEqual([...new Set(answers)], [expected]);
	return counts;
}

async function countServed(t: TestContext) {
	return countRequests(
		await startPath(t, 'nodes'),
		repeat('/prices/1'),
		'200 ',
	);
}

async function countLocallyServed(t: TestContext) {
	return countRequests(await startPath(t, 'nodes'), repeat('/local/1'), '200 ');
}

async function countPlain(t: TestContext) {
	const path = await startCountedPath('plain');
	await path.run(['/any/1']);
	const counts = await countRequests(path, repeat('/any/1'), '200 ');
	// The recording is of the whole process, so that only one path may be open.
	await path.stop();
	t.diagnostic(JSON.stringify(counts));
	return counts;
}

/** Counts requests that the caller's node refuses, since the gate has refused one before. */
async function countRefusedByCaller(t: TestContext) {
	const path = await startPath(t, 'nodes');
	await path.run(['/full/1']);
	return countRequests(path, repeat('/full/1'), '503 saturated');
}

/** Counts requests that a gate refuses. */
async function countRefusedByGate(t: TestContext) {
	const path = await startPath(t, 'nodes');
	const paths = Array.from({length: count}, (_, index) => `/full-${index}/1`);
	return countRequests(path, paths, '503 saturated');
}

test('counts: a served request is written as often as by plain forwarders', async (t) => {
	const plain = await countPlain(t);
	const {callerWrites, gateWrites} = await countServed(t);
	assert.ok(callerWrites <= plain.callerWrites, `${callerWrites} writes`);
	assert.ok(gateWrites <= plain.gateWrites, `${gateWrites} writes`);
});

test('counts: many served requests share a timer', async (t) => {
	const {timers} = await countServed(t);
	assert.ok(timers <= count / requestsPerTimer, `${timers} timers`);
});

test('counts: an attempt has few more headers than a forwarded request', async (t) => {
	const plain = await countPlain(t);
	const {requestHeaders} = await countServed(t);
	assert.ok(
		requestHeaders <= plain.requestHeaders * maxServedRatio,
		`${requestHeaders} headers, ${plain.requestHeaders} of the plain forwarder`,
	);
});

test('counts: the answer to an attempt has few more headers than a forwarded one', async (t) => {
	const plain = await countPlain(t);
	const {answerHeaders} = await countServed(t);
	assert.ok(
		answerHeaders <= plain.answerHeaders * maxServedRatio,
		`${answerHeaders} headers, ${plain.answerHeaders} of the plain forwarder`,
	);
});

test('counts: few served requests are logged', async (t) => {
	const {callerLines, gateLines} = await countServed(t);
	const sampled = count / requestsPerLine;
	assert.ok(callerLines <= sampled * linesPerRequest, `${callerLines} lines`);
	assert.ok(gateLines <= sampled, `${gateLines} lines`);
});

test('counts: a request that is served on the host is written by its node as often as by one plain forwarder', async (t) => {
	const plain = await countPlain(t);
	const {callerWrites, gateWrites} = await countLocallyServed(t);
	assert.ok(callerWrites <= plain.callerWrites, `${callerWrites} writes`);
	assert.equal(gateWrites, 0);
});

test('counts: many requests that are served on the host share a timer', async (t) => {
	const {timers} = await countLocallyServed(t);
	assert.ok(timers <= count / requestsPerTimer, `${timers} timers`);
});

test("counts: a refusal by the caller's node is one write and asks no gate", async (t) => {
	const {callerWrites, gateWrites} = await countRefusedByCaller(t);
	assert.equal(callerWrites, count);
	assert.equal(gateWrites, 0);
});

test("counts: a refusal by the caller's node starts no timer", async (t) => {
	const {timers} = await countRefusedByCaller(t);
	assert.equal(timers, 0);
});

test('counts: a refusal by a gate is one write at the gate and two before it', async (t) => {
	const {callerWrites, gateWrites} = await countRefusedByGate(t);
	assert.equal(callerWrites, 2 * count);
	assert.equal(gateWrites, count);
});

test('counts: many refusals by a gate share a timer', async (t) => {
	const {timers} = await countRefusedByGate(t);
	assert.ok(timers <= count / requestsPerTimer, `${timers} timers`);
});

test('counts: a refusal by a gate has few more headers than a forwarded answer', async (t) => {
	const plain = await countPlain(t);
	const {answerHeaders} = await countRefusedByGate(t);
	assert.ok(
		answerHeaders <= plain.answerHeaders * maxServedRatio,
		`${answerHeaders} headers, ${plain.answerHeaders} of the plain forwarder`,
	);
});

test('counts: refusals are logged up to the limit of a second', async (t) => {
	const {callerLines, gateLines} = await countRefusedByGate(t);
	assert.ok(callerLines <= maxRefusalLines, `${callerLines} lines`);
	assert.ok(gateLines <= maxRefusalLines, `${gateLines} lines`);
});
