import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import process from 'node:process';
import test from 'node:test';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(
	new URL('../dist/demo/run-demo.js', import.meta.url),
);

function isRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

async function runDemo(interruptAfter?: RegExp) {
	const child = spawn(process.execPath, [program]);
	let output = '';
	child.stdout.on('data', (chunk) => {
		output += String(chunk);
		if (interruptAfter?.test(output)) {
			child.kill('SIGINT');
		}
	});
	const code = await new Promise((resolve) => {
		child.once('close', resolve);
	});
	const pids = /processes: (?<pids>[\d ]+)/v.exec(output)?.groups?.pids;
	const left = (pids ?? '')
		.split(' ')
		.map(Number)
		.filter((pid) => pid > 0 && isRunning(pid));
	return {code, output, left, last: output.trim().split('\n').at(-1)};
}

test('the demonstration ends well and leaves no process', async () => {
	const {code, output, left, last} = await runDemo();
	assert.equal(last, 'demo: ok', output);
	assert.equal(code, 0);
	assert.match(output, /processes: \d/v);
	assert.match(output, /load: \d+ requests, 0 lost/v);
	assert.deepEqual(left, []);
});

test('an interrupted demonstration fails and leaves no process', async () => {
	const {code, left, last} = await runDemo(/processes: .*\n/v);
	assert.equal(last, 'demo: failed: interrupted by SIGINT');
	assert.equal(code, 1);
	assert.deepEqual(left, []);
});
