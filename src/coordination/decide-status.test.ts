import assert from 'node:assert/strict';
import test from 'node:test';
import type {DataCentreStatus} from '../protocol/configuration.js';
import {statusSilentAfterMs} from '../protocol/constants.js';
import {decideStatus, type StatusInput} from './decide-status.js';

const status = (
	dataCentre: string,
	changes: Partial<DataCentreStatus> = {},
): DataCentreStatus => ({
	dataCentre,
	version: 5,
	lowestVersion: 5,
	members: 3,
	expectedMembers: 3,
	laggards: [],
	refusals: [],
	writtenAtMs: 0,
	writer: 'a',
	...changes,
});

const both = [status('abdali'), status('marka')];
const problem = {code: 'digest', place: 'digest', message: 'wrong'} as const;
const refusals = [{name: 'marka-1', version: 5, problem}];
const late = statusSilentAfterMs + 1;
const cases: ReadonlyArray<
	readonly [string, Partial<StatusInput>, string, readonly string[]]
> = [
	['every data centre runs it', {}, 'in-force', []],
	[
		'one lags',
		{statuses: [both[0]!, status('marka', {version: 4})]},
		'accepted',
		[],
	],
	['one has never reported', {statuses: [both[0]!]}, 'accepted', ['marka']],
	['all are silent', {now: late}, 'accepted', ['abdali', 'marka']],
	[
		'it was in force',
		{now: late, inForceVersion: 5},
		'in-force',
		['abdali', 'marka'],
	],
	[
		'a node refused it',
		{statuses: [both[0]!, status('marka', {version: 4, refusals})]},
		'refused',
		[],
	],
	[
		'nobody has it',
		{acceptedVersion: 4, statuses: []},
		'unknown',
		['abdali', 'marka'],
	],
];

for (const [what, facts, state, silent] of cases) {
	test(`a version is ${state} when ${what}`, () => {
		const result = decideStatus(5, {
			acceptedVersion: 5,
			inForceVersion: 0,
			statuses: both,
			dataCentres: ['abdali', 'marka'],
			now: 0,
			...facts,
		});
		assert.equal(result.state, state);
		assert.deepEqual(result.silent, silent);
	});
}
