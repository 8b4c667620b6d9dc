/**
 * Runs test files with the runner of Node and passes over the failures that
 * KNOWN-RED.txt lists: `tsx scripts/run-tests.ts [--file-timeout-ms MS] FILE...`.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {findFailures} from './find-failures.js';

/** Time after which a test file that has not ended is killed and has failed, ms; the longest takes about two minutes. */
const defaultFileTimeoutMs = 600_000;

const {values, positionals: files} = parseArgs({
	allowPositionals: true,
	options: {
		'file-timeout-ms': {type: 'string', default: String(defaultFileTimeoutMs)},
	},
});
const listFile = fileURLToPath(new URL('../KNOWN-RED.txt', import.meta.url));
const list = existsSync(listFile) ? readFileSync(listFile, 'utf8').trim() : '';
if (list) {
	console.log(`known red, passed over:\n${list}\n`);
}

const child = spawn(
	process.execPath,
	[
		'--import',
		'tsx',
		'--test',
		'--test-reporter=tap',
		`--test-timeout=${values['file-timeout-ms']}`,
		...files,
	],
	{stdio: ['ignore', 'pipe', 'inherit']},
);
let output = '';
child.stdout.on('data', (chunk) => {
	output += String(chunk);
	process.stdout.write(String(chunk));
});
child.once('close', (code) => {
	const {unexpected, known} = findFailures(output, list);
	for (const name of unexpected) {
		console.error(`failed: ${name}`);
	}

	const isOnlyKnown = known.length > 0 && unexpected.length === 0;
	process.exitCode = code === 0 || isOnlyKnown ? 0 : 1;
});
