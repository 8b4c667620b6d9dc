import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../../harness/create-sample-member.js';
import {memoizeByMember} from './memoize-by-member.js';

const members = Array.from({length: 68}, (_, index) =>
	createSampleMember({name: `abdali-${index}`}),
);

test('a changed record costs the work of one record, not of all', () => {
	let computed = 0;
	const weigh = memoizeByMember(({name, sequence}) => {
		computed++;
		return `${name} ${sequence}`;
	});
	const before = members.map((member) => weigh(member));
	assert.equal(computed, members.length);

	const changed = members.with(7, {...members[7]!, sequence: 1});
	const after = changed.map((member) => weigh(member));
	assert.equal(computed, members.length + 1);
	assert.deepEqual(after, before.with(7, 'abdali-7 1'));
});

test('a result that is undefined is kept as well', () => {
	let computed = 0;
	const weigh = memoizeByMember(() => {
		computed++;
	});
	weigh(members[0]!);
	weigh(members[0]!);
	assert.equal(computed, 1);
});
