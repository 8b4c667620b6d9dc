import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import * as fc from 'fast-check';
import {createPieceBuffer} from './create-piece-buffer.js';

const piecesArbitrary = fc.array(
	fc.oneof(
		fc.uint8Array({maxLength: 3}),
		fc.uint8Array({minLength: 900, maxLength: 1200, size: 'max'}),
	),
	{maxLength: 200},
);

test('returns the pieces in their order, whatever their lengths', () => {
	fc.assert(
		fc.property(piecesArbitrary, fc.nat(2000), (pieces, firstBytes) => {
			const buffer = createPieceBuffer();
			const half = Math.floor(pieces.length / 2);
			for (const piece of pieces.slice(0, half)) {
				buffer.add(piece);
			}

			const firstHalf = Buffer.concat(pieces.slice(0, half));
			assert.deepEqual(
				Buffer.from(buffer.copyFirst(firstBytes)),
				firstHalf.subarray(0, firstBytes),
			);
			for (const piece of pieces.slice(half)) {
				buffer.add(piece);
			}

			const all = Buffer.concat(pieces);
			assert.equal(buffer.readSize(), all.length);
			assert.deepEqual(Buffer.from(buffer.take()), all);
			assert.equal(buffer.readSize(), 0);
			assert.equal(buffer.take().length, 0);
		}),
		{seed: 50, numRuns: 200},
	);
});

test('passes on a body that arrives in one piece without a copy', () => {
	const piece = Buffer.from('lamb and rice');
	const buffer = createPieceBuffer();
	buffer.add(piece);
	assert.equal(buffer.take(), piece);
});
