import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import * as z from 'zod';
import {decodeList} from './decode-list.js';

const schema = z.object({id: z.string().max(8), size: z.int().min(0)});
const options = {schema, place: 'items', maxLength: 8};

test('an entry that cannot be read costs itself only, and is named', () => {
	const {value, unreadable} = decodeList(
		[{id: 'a', size: 1}, {id: 'b', size: -1}, 7, {id: 'c', size: 2}],
		options,
	);
	assert.deepEqual(value, [
		{id: 'a', size: 1},
		{id: 'c', size: 2},
	]);
	assert.deepEqual(
		unreadable.map(({place}) => place),
		['items[b]', 'items[2]'],
	);
});

test('what is not a list gives no entries', () => {
	for (const list of [undefined, null, 1, 'text', {length: 2}]) {
		assert.deepEqual(decodeList(list, options), {
			value: [],
			unreadable: [{place: 'items', reason: 'not a list'}],
		});
	}
});

test('entries beyond the limit are not read', () => {
	let reads = 0;
	const entry = {
		id: 'a',
		get size() {
			reads++;
			return 1;
		},
	};
	const list = Array.from({length: 1_000_000}, () => entry);
	const {value, unreadable} = decodeList(list, options);
	assert.equal(value.length, 8);
	assert.ok(reads <= 16, `${reads} reads`);
	assert.deepEqual(unreadable, [
		{place: 'items', reason: 'more than 8 entries'},
	]);
});

test('the description of a long entry is short', () => {
	const {unreadable} = decodeList([{id: 'a'.repeat(100_000)}], options);
	assert.ok(JSON.stringify(unreadable).length < 512);
});

test('sound entries are kept in order among any others', () => {
	const entryArbitrary = fc.record({
		id: fc.string({maxLength: 8}),
		size: fc.nat(),
	});
	fc.assert(
		fc.property(
			fc.array(fc.oneof(entryArbitrary, fc.anything()), {maxLength: 12}),
			(list) => {
				const sound = list
					.slice(0, 8)
					.flatMap((entry) => schema.safeParse(entry).data ?? []);
				const {value, unreadable} = decodeList(list, options);
				assert.deepEqual(value, sound);
				const left = Math.min(8, list.length) - sound.length;
				assert.equal(unreadable.length, left + (list.length > 8 ? 1 : 0));
			},
		),
		{seed: 40, numRuns: 500},
	);
});
