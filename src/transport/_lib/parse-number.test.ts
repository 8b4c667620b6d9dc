import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {parseNumber} from './parse-number.js';

const range = {min: -10, max: 1000};

test('a number is read in decimal notation and kept within its range', () => {
	const cases: ReadonlyArray<readonly [unknown, number | undefined]> = [
		['0', 0],
		['12.5', 12.5],
		[String(1.5e-7), 1.5e-7],
		['-3', -3],
		['-99', -10],
		['9'.repeat(400), 1000],
		['9007199254740993000', 1000],
		['1e3', undefined],
		['1e400', undefined],
		['NaN', undefined],
		['Infinity', undefined],
		['0x10', undefined],
		['', undefined],
		[' 1', undefined],
		['1, 2', undefined],
		[['1', '2'], undefined],
		[7, undefined],
		[undefined, undefined],
	];
	for (const [text, expected] of cases) {
		assert.equal(parseNumber(text, range), expected, String(text));
	}
});

test('whatever the text, the number is in its range', () => {
	fc.assert(
		fc.property(
			fc.oneof(fc.string(), fc.double().map(String), fc.bigInt().map(String)),
			(text) => {
				const number = parseNumber(text, range);
				assert.ok(
					number === undefined || (number >= range.min && number <= range.max),
				);
			},
		),
		{seed: 40, numRuns: 1000},
	);
});
