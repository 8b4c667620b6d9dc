import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../../harness/create-sample-member.js';
import {memoizeByMember} from './memoize-by-member.js';

const members = Array.from({length: 68}, (_, index) =>
	createSampleMember({name: `abdali-${index}`}),
);

test('a changed record recomputes only its own result', () => {
	let computed = 0;
	const describe = memoizeByMember(({name, sequence}) => {
		computed++;
		return `${name} ${sequence}`;
	});
	const before = members.map((member) => describe(member));
	assert.equal(computed, members.length);

	const changed = members.with(7, {...members[7]!, sequence: 1});
	const after = changed.map((member) => describe(member));
	assert.equal(computed, members.length + 1);
	assert.deepEqual(after, before.with(7, 'abdali-7 1'));
});

test('an undefined result is memoized', () => {
	let computed = 0;
	const describe = memoizeByMember(() => {
		computed++;
	});
	describe(members[0]!);
	describe(members[0]!);
	assert.equal(computed, 1);
});
