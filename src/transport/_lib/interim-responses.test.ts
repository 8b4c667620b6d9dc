import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {startRawServer} from '../../../harness/_lib/start-raw-server.js';
import {writeWithoutEnd} from '../../../harness/_lib/write-without-end.js';
import {maxInterimResponsesPerSecond} from '../../protocol/constants.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {sendRequest} from './send-request.js';

const interim = 'HTTP/1.1 103 \r\n\r\n';
const outgoing = {method: 'GET', path: '/', headers: {host: 'a'}};

// Regression: interim responses without end held up everything else on the node that read them.
test('a request whose receiver sends interim responses without end is lost', async (t) => {
	let seen = 0;
	const sockets: Socket[] = [];
	const address = await startRawServer(t, (socket) => {
		sockets.push(socket);
		socket.once('data', () => {
			writeWithoutEnd(socket, Buffer.from(interim.repeat(4096)));
		});
	});
	const agent = createPooledAgent();
	const outcome = await sendRequest(outgoing, {
		agent,
		address,
		onInterim() {
			seen++;
		},
	}).outcome;
	assert.equal(outcome.kind, 'lost');
	assert.equal(seen, maxInterimResponsesPerSecond);
	while (!sockets.every(({closed}) => closed)) {
		await setImmediate();
	}

	agent.destroy();
});

test('a response follows as many interim responses as its receiver may send', async (t) => {
	const address = await startRawServer(t, (socket) => {
		socket.once('data', () => {
			socket.write(interim.repeat(maxInterimResponsesPerSecond));
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
		});
		void once(socket, 'end').then(() => socket.end());
	});
	const agent = createPooledAgent();
	const outcome = await sendRequest(outgoing, {agent, address}).outcome;
	assert.equal(outcome.kind, 'answered');
	agent.destroy();
});
