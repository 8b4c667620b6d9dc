import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from '../../harness/create-scheduler.js';
import {createTraceparent} from './create-traceparent.js';

const traceId = '0af7651916cd43dd8448eb211c80319c';
const pattern = /^00-(?!0{32})[\da-f]{32}-(?!0{16})[\da-f]{16}-0[01]$/v;

test('a valid parent keeps its trace and its sampling decision', () => {
	const {random} = createScheduler(1);
	for (const flags of ['00', '01', '03']) {
		const parent = `00-${traceId}-b7ad6b7169203331-${flags}`;
		const child = createTraceparent(parent, {sampleRatio: 0.5, random});
		assert.match(child, pattern);
		assert.equal(child.slice(3, 35), traceId);
		assert.notEqual(child.slice(36, 52), parent.slice(36, 52));
		assert.equal(child.endsWith('1'), flags !== '00');
	}
});

test('anything else begins a trace, sampled at the given ratio', () => {
	const {random} = createScheduler(2);
	const zero = '0'.repeat(32);
	const bad = [
		undefined,
		'',
		'x',
		`00-${zero}-b7ad6b7169203331-01`,
		`00-${traceId}-01`,
		`00-${traceId}-b7ad6b7169203331-01, 00-${traceId}-b7ad6b7169203331-01`,
		`ff-${traceId}-b7ad6b7169203331-01`,
	];
	for (const parent of bad) {
		const child = createTraceparent(parent, {sampleRatio: 1, random});
		assert.match(child, pattern);
		assert.notEqual(child.slice(3, 35), traceId);
		assert.ok(child.endsWith('-01'));
	}

	assert.match(
		createTraceparent(undefined, {sampleRatio: 0, random: () => 0}),
		pattern,
	);
	const sampled = Array.from({length: 1000}, () =>
		createTraceparent(undefined, {sampleRatio: 0.25, random}),
	).filter((text) => text.endsWith('-01')).length;
	assert.ok(sampled > 200 && sampled < 300, String(sampled));
});
