import assert from 'node:assert/strict';
import test from 'node:test';
import {formatLoad} from './format-load.js';
import {parseLoad} from './parse-load.js';
import {parseUpstreamLoad} from './parse-upstream-load.js';

test('reads the counts of running and queued requests and of slots', () => {
	for (const text of ['3,1,6', '3, 1, 6', '3,1,6,later']) {
		assert.deepEqual(parseUpstreamLoad(text), {
			inFlight: 3,
			queued: 1,
			slots: 6,
		});
	}
});

test('reads how long work takes on the host, if it is a percentage above 0', () => {
	assert.equal(parseUpstreamLoad('3,1,6,150')?.workRatio, 1.5);
	assert.equal(parseUpstreamLoad('3,1,6, 60 ,7')?.workRatio, 0.6);
	for (const text of ['3,1,6', '3,1,6,', '3,1,6,0', '3,1,6,-1', '3,1,6,1e9']) {
		const load = parseUpstreamLoad(text);
		assert.equal(load?.slots, 6, text);
		assert.equal(load.workRatio, undefined, text);
	}
});

test('a load that is passed on can be read by other nodes', () => {
	const load = parseUpstreamLoad('999999,0,999999');
	assert.deepEqual(parseLoad(formatLoad(load!)), load);
});

test('a load that is not of three counts is not used', () => {
	const texts = [
		undefined,
		['1,2,3', '1,2,3'],
		'',
		',,6',
		'1,2',
		'1,2,0',
		'-1,0,6',
		'1e400,0,6',
		'0,1e400,6',
		'0,0,1e9',
		'0,0,1000000',
		'0,0,9007199254740993000',
		'0.5,0,6',
		'NaN,0,6',
		'0x1,0,6',
	];
	for (const text of texts) {
		assert.equal(parseUpstreamLoad(text), undefined, String(text));
	}
});
