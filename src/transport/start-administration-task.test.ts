import assert from 'node:assert/strict';
import {createConnection} from 'node:net';
import test, {type TestContext} from 'node:test';
import {createStoreClient} from '../../platform/create-store-client.js';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import {decideCommit} from '../coordination/decide-commit.js';
import {maxManifestBytes} from '../protocol/constants.js';
import {createConfiguration} from '../state/create-configuration.js';
import {createLogger} from './create-logger.js';
import {startAdministrationTask} from './start-administration-task.js';

const manifest = {
	team: 'kitchens',
	replaces: 0,
	services: {pricebook: {}},
	policies: {lookup: {repeatable: true}},
	routes: [
		{
			name: 'prices',
			path: '/kitchens/prices',
			service: 'pricebook',
			policy: 'lookup',
		},
	],
};
const self = {
	name: 'abdali-1',
	dataCentre: 'abdali',
	address: '127.0.0.1:8081',
	incarnation: 1,
	sequence: 0,
	state: 'alive' as const,
	upstreams: [],
};
const view = {self, members: [self], candidates: new Map<string, never[]>()};
const text = JSON.stringify(manifest);
const announcement = {
	team: 'kitchens',
	service: 'pricebook',
	address: '127.0.0.1:9',
	slots: 6,
	connections: 110,
	state: 'ready',
};
const announced = JSON.stringify(announcement);

async function startTask(t: TestContext) {
	const changes: string[] = [];
	const platform = createStoreClient('127.0.0.1:1', {
		logger: createLogger('error', 'test'),
	});
	t.after(platform.stop);
	const task = await startAdministrationTask({
		address: '127.0.0.1:0',
		commit: {
			async submit(submission) {
				const decision = decideCommit(createConfiguration(), [submission], 0);
				if (decision.entry) {
					changes.push('commit');
				}

				return decision.outcomes[0]!;
			},
		},
		platform,
		readConfiguration: createConfiguration,
		readNewestConfiguration: createConfiguration,
		readView: () => view,
		readControlBytes: () => 0,
		announce(id) {
			changes.push(`announce ${id}`);
			return 'accepted';
		},
		withdraw(id) {
			assert.notEqual(id, 'fails');
			changes.push(`withdraw ${id}`);
		},
		logger: createLogger('error', 'abdali-1').child({}),
	});
	t.after(task.stop);
	return {address: task.address, changes};
}

/** Sends a raw request and returns everything received until the connection closes. */
async function sendBytes(
	address: string,
	head: string,
	body = '',
): Promise<string> {
	const [host, port] = address.split(':');
	const socket = createConnection(Number(port), host);
	let response = '';
	socket.on('data', (chunk) => {
		response += String(chunk);
	});
	const closed = new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
		socket.once('error', () => {
			resolve();
		});
	});
	socket.write(`${head}\r\nhost: a\r\nconnection: close\r\n\r\n${body}`);
	if (head.includes('x-cut: 1')) {
		socket.end();
	}

	await closed;
	return response;
}

function formatResponse(response: string): string {
	const [head = '', body = ''] = response.split('\r\n\r\n');
	const status = head.split(' ', 2)[1];
	return `${status}\n${body.trim().replace(/not JSON: [^"]*/v, 'not JSON')}`;
}

function post(body: string, ...headers: string[]): [string, string] {
	const length = `content-length: ${body.length}`;
	const all = ['idempotency-key: a', length, ...headers];
	return [['POST /manifests HTTP/1.1', ...all].join('\r\n'), body];
}

function put(id: string, body: string): [string, string] {
	const length = `content-length: ${body.length}`;
	return [`PUT /upstreams/${id} HTTP/1.1\r\n${length}`, body];
}

const route = manifest.routes[0]!;
const invalidRequests: Record<string, [string, string?]> = {
	'unknown field': post(text.replace('"team"', '"color":1,"team"')),
	'over size': post(text.padEnd(maxManifestBytes + 1)),
	'over size in chunks': [
		'POST /manifests HTTP/1.1\r\nidempotency-key: a\r\ntransfer-encoding: chunked',
		`11000\r\n${' '.repeat(0x1_10_00)}\r\n0\r\n\r\n`,
	],
	'dangling service': post(text.replace('"pricebook":{}', '')),
	'dangling policy': post(text.replace('"lookup":{', '"other":{')),
	"other team's path": post(text.replace('/kitchens/', '/brigades/')),
	"other team's service": post(
		text.replace('"service":"', '"service":"brigades/'),
	),
	'path that normalises': post(text.replace('/prices"', '/../brigades"')),
	'route given twice': post(
		JSON.stringify({...manifest, routes: [route, route]}),
	),
	'old revision': post(text.replace('"replaces":0', '"replaces":3')),
	'cut JSON': post(text.slice(0, 50)),
	'no body': post(''),
	'not an object': post('[]'),
	'key given twice': post(text.replace('"team"', '"team":"other","team"')),
	'prototype key': post(text.replace('"team"', '"__proto__":{},"team"')),
	'wrong content type': post(text, 'content-type: text/plain'),
	'bad submission id': [
		`POST /manifests HTTP/1.1\r\nidempotency-key: a b\r\ncontent-length: ${text.length}`,
		text,
	],
	'two submission ids': post(text, 'idempotency-key: b'),
	'two content lengths': post(text, 'content-length: 3'),
	'length and chunks': post(text, 'transfer-encoding: chunked'),
	'huge headers': post(text, `x-large: ${'a'.repeat(20_000)}`),
	'cut body': [
		`POST /manifests HTTP/1.1\r\nidempotency-key: a\r\nx-cut: 1\r\ncontent-length: ${text.length}`,
		text.slice(0, 50),
	],
	'version not a number': ['GET /status/seven HTTP/1.1'],
	'version negative': ['GET /status/-1 HTTP/1.1'],
	'version too long': ['GET /status/9999999999999999 HTTP/1.1'],
	'version empty': ['GET /status/%20 HTTP/1.1'],
	'platform down': ['GET /status HTTP/1.1'],
	'upstream id not encoded': put('%E0%A4%A', announced),
	'upstream id with a line feed': put('a%0Ab', announced),
	'upstream id too long': put('a'.repeat(65), announced),
	'upstream id to withdraw': ['DELETE /upstreams/%zz HTTP/1.1'],
	'announcement without slots': put('a', announced.replace('"slots":6,', '')),
	'announcement with a bad port': put('a', announced.replace(':9"', ':65536"')),
	'announcement with port 0': put('a', announced.replace(':9"', ':0"')),
	'announcement cut': put('a', announced.slice(0, 30)),
	'announcement key twice': put(
		'a',
		announced.replace('"slots"', '"slots":1,"slots"'),
	),
	'explain without a path': ['GET /explain?method=GET HTTP/1.1'],
	'explain with two paths': [
		'GET /explain?method=GET&path=/a&path=/b HTTP/1.1',
	],
	'explain an ambiguous path': [
		'GET /explain?method=GET&path=/kitchens/../a HTTP/1.1',
	],
	'explain garbage': ['GET /explain?method=GET&path=%E0%A4%A HTTP/1.1'],
	'no such resource': ['GET /manifest HTTP/1.1'],
	'wrong method': ['PUT /manifests HTTP/1.1'],
	'not HTTP': ['HELLO'],
	'handler that fails': ['DELETE /upstreams/fails HTTP/1.1'],
};

test('invalid requests are rejected with an error and change nothing', async (t) => {
	const {address, changes} = await startTask(t);
	for (const [name, [head, body]] of Object.entries(invalidRequests)) {
		const response = await sendBytes(address, head, body);
		assert.doesNotMatch(response, /^HTTP\/1.1 200/v, name);
		assert.deepEqual(changes, [], name);
		matchSnapshot(import.meta.url, name, formatResponse(response));
	}
});

test('valid requests take effect', async (t) => {
	const {address, changes} = await startTask(t);
	const json = 'content-type: application/json; charset=utf-8';
	const validRequests: Array<[string, string]> = [
		post(text),
		post(text, json),
		put('a%20b%', announced),
		put('a%2Fb', announced),
		['DELETE /upstreams/a HTTP/1.1', ''],
	];
	const statuses = [];
	for (const [head, body] of validRequests) {
		const response = await sendBytes(address, head, body);
		statuses.push(response.split(' ', 2)[1]);
	}

	assert.deepEqual(statuses, ['200', '200', '400', '200', '200']);
	assert.deepEqual(changes, ['commit', 'commit', 'announce a/b', 'withdraw a']);
});
