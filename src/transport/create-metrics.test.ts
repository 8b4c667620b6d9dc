import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {createConnection} from 'node:net';
import test from 'node:test';
import {pollUntil} from '../../harness/poll-until.js';
import {createByteCounter} from './_lib/create-byte-counter.js';
import {startServer} from './_lib/start-server.js';
import {createLogger} from './create-logger.js';
import {createMetrics} from './create-metrics.js';

const logger = createLogger('error', 'abdali-1');

test('sends nothing without a receiver', async () => {
	const metrics = createMetrics({
		metrics: {sampleRatio: 1},
		name: 'abdali-1',
		dataCentre: 'abdali',
		logger,
	});
	assert.deepEqual(metrics.observer, {});
	await metrics.stop();
});

test('sends gauges and control bytes with their tags', async (t) => {
	let text = '';
	const receiver = createSocket('udp4');
	receiver.on('message', (packet) => {
		text += packet.toString();
	});
	await new Promise<void>((resolve) => {
		receiver.bind(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		receiver.close();
	});
	let taken = 0;
	const metrics = createMetrics({
		metrics: {
			statsd: `127.0.0.1:${receiver.address().port}`,
			sampleRatio: 1,
		},
		name: 'abdali-1',
		dataCentre: 'abdali',
		logger,
		intervalMs: 10,
		readGauges: () => [
			{name: 'members.count', value: 3, tags: {state: 'alive'}},
		],
		takeBytes: () =>
			taken++ === 0 ? [{purpose: 'poll', sent: 120, received: 4096}] : [],
	});
	t.after(metrics.stop);
	const tags = 'node:abdali-1,dataCentre:abdali';
	const lines = [
		`boragehitch.members.count:3|g|#${tags},state:alive`,
		`boragehitch.control.bytes_sent:120|c|#${tags},purpose:poll`,
		`boragehitch.control.bytes_received:4096|c|#${tags},purpose:poll`,
	];
	assert.ok(
		await pollUntil(
			async () => lines.every((line) => text.includes(line)),
			5000,
		),
		text,
	);
});

test('counts the bytes on a socket once, including after it has closed', async (t) => {
	const server = await startServer('127.0.0.1:0', (request, response) => {
		request.resume();
		response.end('ok');
	});
	t.after(server.stop);
	const counter = createByteCounter();
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	counter.track('poll', socket);
	counter.track('poll', socket);
	const message = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';
	socket.end(message);
	let received = 0;
	socket.on('data', (chunk) => {
		received += chunk.length;
	});
	await new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
	assert.deepEqual(counter.take(), [
		{purpose: 'poll', sent: message.length, received},
	]);
	assert.deepEqual(counter.take(), []);
	assert.ok(counter.readTotal() > 0);
});
