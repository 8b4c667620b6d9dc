import assert from 'node:assert/strict';
import test from 'node:test';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import {exitCodes} from './exit-codes.js';
import {runTrace} from './run-trace.js';

/** Recorded log lines of nodes: a refused request, and a request whose server crashed. */
const recordedLines = [
	'0.8799 sidecar-abdali-3 {"durationMs":4,"level":"info","message":"gate ended attempt","node":"sidecar-abdali-3","outcome":"unknown","queuedMs":0,"reason":"connection-lost","requestId":"b1ce46d4e2038b85.2b1332b3a148bcac","service":"cuye46b","status":0,"timestamp":"2026-04-20T07:37:58.879Z"}',
	'0.8828 sidecar-abdali-2 {"attempt":1,"durationMs":9,"host":"sidecar-abdali-3","level":"info","message":"attempt ended","node":"sidecar-abdali-2","outcome":"unknown","reason":"connection-lost","requestId":"b1ce46d4e2038b85.2b1332b3a148bcac","service":"cuye46b","status":0,"timestamp":"2026-04-20T07:37:58.882Z"}',
	'0.9051 sidecar-abdali-2 {"attempt":2,"durationMs":5,"host":"sidecar-sweifieh-2","level":"info","message":"attempt ended","node":"sidecar-abdali-2","outcome":"not-run","reason":"stale-stamp","requestId":"b1ce46d4e2038b85.2b1332b3a148bcac","service":"cuye46b","status":0,"timestamp":"2026-04-20T07:37:58.904Z"}',
	'2.6229 sidecar-abdali-4 {"attempt":1,"durationMs":3,"host":"sidecar-abdali-1","level":"info","message":"attempt ended","node":"sidecar-abdali-4","outcome":"not-run","reason":"saturated","requestId":"271831bdb81cc0d9","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.622Z"}',
	'2.7513 sidecar-abdali-2 {"durationMs":126,"level":"info","message":"gate ended attempt","node":"sidecar-abdali-2","outcome":"not-run","queuedMs":126,"reason":"saturated","requestId":"271831bdb81cc0d9","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.751Z"}',
	'2.7528 sidecar-abdali-4 {"attempt":2,"durationMs":129,"host":"sidecar-abdali-2","level":"info","message":"attempt ended","node":"sidecar-abdali-4","outcome":"not-run","reason":"saturated","requestId":"271831bdb81cc0d9","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.752Z"}',
	'2.7587 sidecar-abdali-4 {"attempt":3,"durationMs":5,"host":"sidecar-marka-1","level":"info","message":"attempt ended","node":"sidecar-abdali-4","outcome":"not-run","reason":"stale-stamp","requestId":"271831bdb81cc0d9","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.758Z"}',
	'2.7626 sidecar-abdali-4 {"attempt":4,"durationMs":3,"host":"sidecar-marka-1","level":"info","message":"attempt ended","node":"sidecar-abdali-4","outcome":"not-run","reason":"saturated","requestId":"271831bdb81cc0d9","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.762Z"}',
	'2.7637 sidecar-abdali-4 {"attempts":4,"durationMs":144,"level":"info","message":"request ended","node":"sidecar-abdali-4","outcome":"not-run","reason":"saturated","requestId":"271831bdb81cc0d9","route":"r-sfirva7","service":"jecu40a","status":0,"timestamp":"2026-04-20T07:38:00.763Z","version":3}',
	'3.3779 sidecar-abdali-1 {"count":2,"level":"warn","message":"log lines dropped","node":"sidecar-abdali-1","timestamp":"2026-04-20T07:38:01.377Z"}',
];

async function run(id: string, lines: readonly string[], flag = '') {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await runTrace(
		{operands: [id], values: {}, flags: new Set([flag])},
		{
			print(line) {
				output.push(line);
			},
			printError(line) {
				errors.push(line);
			},
			readInput: async () => lines.join('\n'),
		},
	);
	return {code, output: output.join('\n'), errors: errors.join('\n')};
}

const refusedId = '271831bdb81cc0d9';
const lostId = 'b1ce46d4e2038b85.2b1332b3a148bcac';

test('prints the trace of a refused request as text and as JSON', async () => {
	const {code, output} = await run(refusedId, recordedLines);
	assert.equal(code, exitCodes.ok);
	matchSnapshot(import.meta.url, 'refused', output);
	const {output: json} = await run(refusedId, recordedLines, 'json');
	matchSnapshot(
		import.meta.url,
		'refused as JSON',
		JSON.stringify(JSON.parse(json), undefined, 2),
	);
});

test('the order of the lines does not matter', async () => {
	const {output} = await run(refusedId, recordedLines);
	const {output: reversed} = await run(refusedId, recordedLines.toReversed());
	assert.equal(reversed, output);
});

test('lists the missing lines', async () => {
	const {output} = await run(lostId, recordedLines);
	matchSnapshot(import.meta.url, 'without its end', output);
	const withoutGate = recordedLines.filter(
		(line) => !line.includes('"gate ended'),
	);
	const {output: rest} = await run(lostId, withoutGate);
	matchSnapshot(import.meta.url, 'without the line of a gate', rest);
});

test('ignores lines of other programs and reports an unknown request', async () => {
	const lines = ['', 'not a line of a node', '{"message":1}', '{"cut":'];
	const {code, errors} = await run(refusedId, lines);
	assert.equal(code, exitCodes.refused);
	matchSnapshot(import.meta.url, 'unknown', errors);
});

test('a gate whose clock is an hour ahead keeps its place in the trace', async () => {
	const ahead = recordedLines.map((line) =>
		line.includes('"gate ended') ? line.replace('T07:', 'T08:') : line,
	);
	const {output} = await run(refusedId, ahead);
	assert.match(output, /clock ahead by 3599999 to 3600002 ms/v);
});

test('lists the crashes under which a quarantined request was running', async () => {
	const {code, output} = await run('a2', [
		'{"crash":"c-1","id":"i-1","level":"warn","message":"upstream crashed","node":"abdali-1","running":[{"fingerprint":"dead","requestId":"a1"},{"fingerprint":"lamb","requestId":"b1"}],"service":"pricebook","timestamp":"2026-04-20T07:38:00.100Z"}',
		'{"crash":"c-2","id":"i-2","level":"warn","message":"upstream crashed","node":"abdali-2","running":[{"fingerprint":"dead","requestId":"a1"}],"service":"pricebook","timestamp":"2026-04-20T07:38:00.200Z"}',
		'{"crash":"c-3","id":"i-3","level":"warn","message":"upstream crashed","node":"abdali-3","running":[{"fingerprint":"lamb","requestId":"b2"}],"service":"pricebook","timestamp":"2026-04-20T07:38:00.300Z"}',
		'{"attempts":0,"durationMs":1,"fingerprint":"dead","level":"info","message":"request ended","node":"abdali-4","outcome":"not-run","reason":"quarantined","requestId":"a2","route":"prices","service":"pricebook","status":0,"timestamp":"2026-04-20T07:38:01.000Z","version":3}',
	]);
	assert.equal(code, exitCodes.ok);
	assert.deepEqual(output.split('\n'), [
		'request a2 at abdali-4, route prices to pricebook, version 3: not-run quarantined after 1 ms',
		'  upstream i-1 at abdali-1 crashed at 2026-04-20T07:38:00.100Z while it ran the same request, and 1 others',
		'  upstream i-2 at abdali-2 crashed at 2026-04-20T07:38:00.200Z while it ran the same request, and 0 others',
	]);
});
