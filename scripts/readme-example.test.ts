import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {readFile, rm, writeFile} from 'node:fs/promises';
import process from 'node:process';
import test from 'node:test';
import {fileURLToPath} from 'node:url';

test('the example of the README runs and prints what it says', async (t) => {
	const readme = await readFile(
		new URL('../README.md', import.meta.url),
		'utf8',
	);
	const code = /```js\n(?<code>.*?)```/sv.exec(readme)?.groups?.code;
	assert.ok(code);
	// Inside the package, so that its own name resolves by its exports.
	const file = fileURLToPath(
		new URL(`../dist/readme-example-${process.pid}.js`, import.meta.url),
	);
	await writeFile(file, code);
	t.after(async () => rm(file));
	const output = execFileSync(process.execPath, [file], {encoding: 'utf8'});
	const expected = [...code.matchAll(/\/\/ prints (?<text>.*)$/gmv)].map(
		({groups}) => groups!.text!,
	);
	assert.ok(expected.length > 0);
	assert.deepEqual(output.trim().split('\n'), expected);
});

test('internal modules are not exported', async () => {
	const file = 'boragehitch/state/_lib/compute-digest';
	await assert.rejects(import(file), {code: 'ERR_PACKAGE_PATH_NOT_EXPORTED'});
});
