import assert from 'node:assert/strict';
import test from 'node:test';
import {inspect} from 'node:util';
import {decodeSeeds} from './decode-seeds.js';

const wallMs = 1_781_956_067_282;
const seeds = {
	addresses: ['10.0.0.1:7620', '10.0.0.2:7620'],
	memberCount: 2,
	writtenMs: wallMs - 1000,
};

test('reads what a node has written', () => {
	assert.deepEqual(decodeSeeds(seeds, wallMs), {...seeds, problems: []});
});

// Regression: ports to which no connection can be opened, and octets above 255, were tried by joining nodes.
test('an address that cannot be used is left out alone', () => {
	for (const odd of [
		'10.0.0.3:0',
		'10.0.0.3:65536',
		'10.0.0.3:99999',
		'999.1.1.1:80',
		'',
		7,
		null,
		[['10.0.0.3:80']],
		{},
	]) {
		const [first, ...rest] = seeds.addresses;
		const decoded = decodeSeeds(
			{...seeds, addresses: [first, odd, ...rest]},
			wallMs,
		);
		assert.deepEqual(decoded.addresses, seeds.addresses, inspect(odd));
		assert.equal(decoded.memberCount, 2);
		assert.equal(decoded.problems.length, 1);
		assert.match(decoded.problems[0]!, /^addresses\.1: .*\(1 of 3\)$/v);
	}
});

test('no more addresses are used than a node writes', () => {
	const addresses = Array.from(
		{length: 200},
		(_, index) => `10.0.0.${index}:80`,
	);
	const decoded = decodeSeeds({...seeds, addresses}, wallMs);
	assert.equal(decoded.addresses.length, 24);
	assert.equal(decoded.problems.length, 1);
});

// Regression: a time in the far future counted as recent, so that the object was not written again.
test('a time in the future is unknown beyond the difference of two clocks', () => {
	for (const [writtenMs, expected] of [
		[wallMs + 5000, wallMs + 5000],
		[wallMs + 5001, 0],
		[1e300, 0],
		[Infinity, 0],
		[-1, 0],
		['0', 0],
		[undefined, 0],
	] as const) {
		const decoded = decodeSeeds({...seeds, writtenMs}, wallMs);
		assert.equal(decoded.writtenMs, expected, String(writtenMs));
		assert.deepEqual(decoded.addresses, seeds.addresses);
		assert.equal(decoded.problems.length, expected === 0 ? 1 : 0);
	}
});

test('a count beyond the members of a data centre is unknown', () => {
	for (const [memberCount, expected] of [
		[8192, 8192],
		[8193, 0],
		[9e15, 0],
		[Infinity, 0],
		[1.5, 0],
		[-1, 0],
		[null, 0],
	] as const) {
		const decoded = decodeSeeds({...seeds, memberCount}, wallMs);
		assert.equal(decoded.memberCount, expected, String(memberCount));
		assert.deepEqual(decoded.addresses, seeds.addresses);
	}
});

test('a missing field is unknown alone', () => {
	const {addresses} = seeds;
	const decoded = decodeSeeds({addresses}, wallMs);
	assert.deepEqual(decoded.addresses, addresses);
	assert.equal(decoded.problems.length, 2);
});

test('a value of another shape names no address', () => {
	for (const value of [
		undefined,
		null,
		7,
		'10.0.0.1:80',
		[],
		{},
		{addresses: '10.0.0.1:80'},
	]) {
		const decoded = decodeSeeds(value, wallMs);
		assert.deepEqual(decoded.addresses, []);
		assert.equal(decoded.problems.length, 1);
	}
});
