import assert from 'node:assert/strict';
import test from 'node:test';
import type {Member} from '../../protocol/member.js';
import {memoizeByMember} from './memoize-by-member.js';

const members: readonly Member[] = Array.from({length: 68}, (_, index) => ({
	name: `abdali-${index}`,
	dataCentre: 'abdali',
	address: '10.0.0.1:8081',
	incarnation: 1,
	sequence: 0,
	state: 'alive',
	upstreams: [],
}));

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
