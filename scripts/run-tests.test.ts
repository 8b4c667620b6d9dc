import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(new URL('run-tests.ts', import.meta.url));

// Regression: CI waited 90 minutes for a test that did not end.
test('a test file that does not end fails the run under its name', (t) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'boragehitch-'));
	t.after(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'endless.mjs');
	writeFileSync(
		file,
		"import test from 'node:test'; setInterval(() => {}, 1000); test('ends', () => {});",
	);
	// Without the variable by which the runner tells that it runs inside another one.
	const {NODE_TEST_CONTEXT: _, ...env} = process.env;
	const {status, stderr} = spawnSync(
		process.execPath,
		['--import', 'tsx', program, '--file-timeout-ms', '2000', file],
		{encoding: 'utf8', env},
	);
	assert.equal(status, 1);
	assert.ok(stderr.includes(`failed: ${file}`), stderr);
});
