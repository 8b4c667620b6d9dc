import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import test from 'node:test';
import {readWholeBody} from './read-whole-body.js';

const text = 'lamb and rice';

test('reads a whole body, buffered or streamed in chunks', async () => {
	const bytes = Buffer.from(text);
	const stream = Readable.from([bytes.subarray(0, 4), bytes.subarray(4)]);
	assert.equal(String(await readWholeBody(bytes, text.length)), text);
	assert.equal(String(await readWholeBody(stream, text.length)), text);
});

test('returns undefined for a body that is too long and destroys its stream', async () => {
	const bytes = Buffer.from(text);
	const stream = new Readable({
		read() {
			this.push(bytes);
		},
	});
	assert.equal(await readWholeBody(bytes, text.length - 1), undefined);
	assert.equal(await readWholeBody(stream, 100), undefined);
	assert.equal(stream.destroyed, true);
});
