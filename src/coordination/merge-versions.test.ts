import assert from 'node:assert/strict';
import test from 'node:test';
import {maxVersionsPerRecord} from '../protocol/constants.js';
import {mergeVersions} from './merge-versions.js';
import type {Crash, VersionStatus} from './quarantine-state.js';

const crash: Crash = {at: 0, isCleared: false, version: 'v2'};

function merge(
	one: ReadonlyArray<readonly [string, VersionStatus]>,
	other: ReadonlyArray<readonly [string, VersionStatus]>,
	crashes: readonly Crash[] = [],
) {
	return [...mergeVersions(new Map(one), new Map(other), crashes)];
}

test('an answer counts more than an announcement, whatever the order', () => {
	const answered = [['v2', 'answered']] as const;
	const announced = [['v2', 'announced']] as const;
	assert.deepEqual(merge(answered, announced), [['v2', 'answered']]);
	assert.deepEqual(merge(announced, answered), [['v2', 'answered']]);
});

test('a version that has only been announced is left out once it has crashed', () => {
	const versions = [
		['v2', 'announced'],
		['v3', 'announced'],
	] as const;
	assert.deepEqual(merge(versions, [], [crash]), [['v3', 'announced']]);
	assert.deepEqual(merge([['v2', 'answered']], [], [crash]), [
		['v2', 'answered'],
	]);
});

test('the number of versions is bounded', () => {
	const versions = Array.from(
		{length: maxVersionsPerRecord + 2},
		(_, index): readonly [string, VersionStatus] => [`v${index}`, 'announced'],
	);
	assert.equal(merge(versions, []).length, maxVersionsPerRecord);
});
