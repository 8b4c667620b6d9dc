import assert from 'node:assert/strict';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SnapshotState} from 'jest-snapshot';

/**
 * Asserts that a value equals the snapshot stored beside the test file.
 *
 * Snapshots are in `__snapshots__`; they are written only when the environment
 * variable `UPDATE_SNAPSHOTS` is set. A missing snapshot fails the test.
 *
 * @param testFileUrl - `import.meta.url` of the test file
 * @param name - name of the snapshot, unique in the test file
 * @param value - the value, of plain data
 * @param shouldUpdate - whether to store the value instead
 * @throws AssertionError when the value differs or there is no snapshot
 * @example
 * matchSnapshot(import.meta.url, 'refused manifest', problems);
 */
export function matchSnapshot(
	testFileUrl: string,
	name: string,
	value: unknown,
	shouldUpdate = Boolean(process.env.UPDATE_SNAPSHOTS),
): void {
	const testFile = fileURLToPath(testFileUrl);
	const file = path.join(
		path.dirname(testFile),
		'__snapshots__',
		`${path.basename(testFile)}.snap`,
	);
	const state = new SnapshotState(file, {
		updateSnapshot: shouldUpdate ? 'all' : 'none',
		rootDir: path.dirname(testFile),
		prettierPath: null,
		snapshotFormat: {printBasicPrototype: false, escapeString: false},
	});
	const result = state.match({
		testName: name,
		received: value,
		isInline: false,
	});
	state.markSnapshotsAsCheckedForTest(name);
	if (shouldUpdate) {
		state.save();
	}

	assert.ok(
		result.pass,
		`snapshot "${name}":\n${result.actual}\nexpected:\n${result.expected ?? 'none stored'}`,
	);
}
