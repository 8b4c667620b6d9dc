/** Test of a store whose own revision cannot be read, with the task that keeps the configuration. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import test from 'node:test';
import {createSilentLogger} from '../harness/create-silent-logger.js';
import {listen} from '../harness/_lib/platform-node.js';
import {pollUntil} from '../harness/poll-until.js';
import {createStoreClient} from '../platform/create-store-client.js';
import {createPeerClients} from '../src/transport/create-peer-client.js';
import {startDocumentTask} from '../src/transport/start-document-task.js';

/** Longest time until a change is in force on a node while the store answers, ms. */
const changeMs = 6000;

const firstVersion = 7;
const lastVersion = 12;
const unreadableRevision = '9007199254740993000';

// Regression: the store was called in a loop, with a line of the log each time.
test('changes come into force beside a revision of the store that cannot be read, without a line for each call', async (t) => {
	let version = firstVersion;
	const server = createServer((request, response) => {
		const spec = `{"version":"${version.toString(16).padStart(8, '0')}","resources":[]}`;
		const object = `{"metadata":{"name":"main","revision":${version}},"spec":${spec}}`;
		response.end(
			request.url?.includes('watch')
				? `{"events":[],"current_rev":${unreadableRevision}}`
				: `{"items":[${object}],"more":false,"current_rev":${unreadableRevision}}`,
		);
	});
	const lines: string[] = [];
	const logger = {
		...createSilentLogger(),
		warn(message: string) {
			lines.push(message);
		},
	};
	const store = createStoreClient(await listen(server, t), {logger});
	const running: number[] = [];
	const task = startDocumentTask({
		name: 'a',
		store,
		peers: createPeerClients(),
		logger,
		onDocument(document) {
			running.push(document.version);
		},
	});
	t.after(async () => {
		task.stop();
		await store.stop();
	});
	for (; version <= lastVersion; version++) {
		const expected = version;
		const isInForce = await pollUntil(
			async () => running.at(-1) === expected,
			changeMs,
		);
		assert.ok(isInForce, `version ${expected} is not in force`);
	}

	assert.deepEqual(lines, ['store entry not readable']);
});
