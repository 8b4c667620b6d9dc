import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from '../../harness/create-scheduler.js';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import type {GateEvent} from '../protocol/observer.js';
import {startServer} from './_lib/start-server.js';
import type {Logger} from './create-logger.js';
import {createTracer} from './create-tracer.js';

const trace = '00-0af7651916cd43dd8448eb211c80319c';
const gateEvent: GateEvent = {
	requestId: 'r1',
	attemptId: 'r1/1',
	team: 'kitchens',
	service: 'kitchens/pricebook',
	outcome: 'answered',
	reason: undefined,
	status: 200,
	startedAtMs: 5,
	durationMs: 3.5,
	queuedMs: 1.25,
	ageMs: 2,
	unreadMs: 0,
	isForwarded: true,
	sendWaitMs: 1,
	parentTraceparent: `${trace}-00000000000000aa-01`,
	traceparent: `${trace}-00000000000000bb-01`,
};

function failOnLine(message: string): void {
	throw new Error(message);
}

function createWarningCollector(warnings: string[]): Logger {
	const logger: Logger = {
		error: failOnLine,
		warn(message) {
			warnings.push(message);
		},
		info: failOnLine,
		debug: failOnLine,
		child: () => logger,
	};
	return logger;
}

test('writes only the sampled spans of a gate, as JSON lines', async () => {
	let text = '';
	const tracer = createTracer({
		trace: {export: 'log', sampleRatio: 0},
		name: 'abdali-1',
		dataCentre: 'abdali',
		logger: createWarningCollector([]),
		random: createScheduler(3).random,
		write(lines) {
			text += lines;
		},
	});
	const {onGate} = tracer.observer;
	onGate?.(gateEvent);
	onGate?.({...gateEvent, outcome: 'not-run', reason: 'saturated', status: 0});
	onGate?.({...gateEvent, traceparent: `${trace}-00000000000000cc-00`});
	onGate?.({...gateEvent, traceparent: undefined});
	assert.equal(text, '');
	await tracer.stop();
	const spans = text
		.trim()
		.split('\n')
		.map((line) => ({...JSON.parse(line), timestamp: 'any'}) as unknown);
	matchSnapshot(import.meta.url, 'gate', spans);
});

test('logs only a warning when the receiver rejects spans', async (t) => {
	const receiver = await startServer('127.0.0.1:0', (_request, response) => {
		response.writeHead(400).end();
	});
	t.after(receiver.stop);
	const warnings: string[] = [];
	const tracer = createTracer({
		trace: {
			export: 'otlp',
			url: `http://${receiver.address}/v1/traces`,
			sampleRatio: 1,
		},
		name: 'abdali-1',
		dataCentre: 'abdali',
		logger: createWarningCollector(warnings),
	});
	tracer.observer.onGate?.(gateEvent);
	await tracer.stop();
	assert.deepEqual(warnings, ['spans not exported']);
});
