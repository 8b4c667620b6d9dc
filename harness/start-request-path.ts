import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {defaultEdge} from '../src/transport/default-edge.js';
import {createForwarder} from '../src/transport/create-forwarder.js';
import {startCallerTask} from '../src/transport/start-caller-task.js';
import {startGateTask} from '../src/transport/start-gate-task.js';
import {startPeerServer} from '../src/transport/start-peer-server.js';
import {createLagMeter} from '../src/transport/_lib/create-lag-meter.js';
import {startServer} from '../src/transport/_lib/start-server.js';
import {waitForTurns} from '../src/transport/_lib/wait-for-turns.js';
import {startRelay} from './_lib/start-relay.js';
import {reportConnections} from './_lib/report-connections.js';
import {createGateHandlers} from './create-gate-handlers.js';
import {createSampleAttempt} from './create-sample-attempt.js';
import {createSampleMember} from './create-sample-member.js';
import {createSampleRoute} from './create-sample-route.js';
import {createSilentLogger} from './create-silent-logger.js';
import {pollUntil} from './poll-until.js';

/** Places on the way of a request at which it can wait, in the order in which it reaches them. */
export const waitPlaces = [
	/** In a socket of the caller's node: on a new connection in the accept backlog, else unread. */
	'caller-socket',
	/** After the caller's node has released the new connection, before it reads the request. */
	'caller-accepted',
	/** At the caller's node, between reading the request and choosing a gate. */
	'caller-handling',
	/** At the caller's node, between creating the attempt and passing it to a connection. */
	'attempt-created',
	/** At the caller's node, while its connection to the gate opens. */
	'gate-connection',
	/** Between the nodes. */
	'network',
	/** After the gate's node has released the new connection, before it reads the attempt. */
	'gate-accepted',
	/** In the gate's queue. */
	'gate-queue',
	/** At the gate, while its connection to the upstream opens. */
	'upstream-connection',
] as const;

export type WaitPlace = (typeof waitPlaces)[number];

/** Waits by place, ms of the simulated clock. */
export type Waits = Readonly<Partial<Record<WaitPlace, number>>>;

/** Options of `RequestPath.sendRequest`. */
export type PathRequest = {
	/** Waits that the request meets; each place is passed once. */
	readonly waits: Waits;
	/** Time after which the client leaves, ms of the simulated clock. */
	readonly deadlineMs: number;
	/** Place at which the client leaves before its deadline, right before the wait there. */
	readonly leavesAt?: WaitPlace;
};

/** What became of a request. */
export type PathOutcome = {
	/** How long after the client had left the request reached the upstream, ms; negative when it was still there, undefined when it did not reach it. */
	readonly arrivedAfterLeavingMs: number | undefined;
	/** Places that the request passed. */
	readonly passed: readonly WaitPlace[];
};

/** A client, a caller's node, a gate's node and an upstream in one process. */
export type RequestPath = {
	/** Sends a request on the client's connection, which is kept. */
	sendRequest(request: PathRequest): Promise<PathOutcome>;
	stop(): Promise<void>;
};

const pollTimeoutMs = 5000;

/** Event loop turns within which what one task in this process has sent has been read by another. */
const settlingTurns = 10;

/** Event loop turns within which a request has passed every place. */
const maxTurns = 20 * settlingTurns;

/**
 * Starts a whole request path on a simulated clock, which only the waits of a
 * request advance. Timers keep to real time, so that none of them ends a wait.
 *
 * @returns the running path
 * @example
 * (await startRequestPath()).sendRequest({waits: {network: 600}, deadlineMs: 350});
 */
export async function startRequestPath(): Promise<RequestPath> {
	const logger = createSilentLogger();
	let at = 10_000;
	const now = (): number => at;
	const lateMs = {caller: 0, gate: 0};
	const meters = {
		caller: createLagMeter(() => lateMs.caller),
		gate: createLagMeter(() => lateMs.gate),
	};
	let request: PathRequest = {waits: {}, deadlineMs: 0};
	let passed: WaitPlace[] = [];
	let leftAt = Number.POSITIVE_INFINITY;
	let arrivedAt: number | undefined;
	let client: Socket | undefined;

	/** Has the client leave if this is where it leaves. */
	function leave(place: WaitPlace): void {
		if (place === request.leavesAt && client && !client.destroyed) {
			leftAt = at;
			client.destroy();
		}
	}

	/** Advances the clock by the wait of a place, at which the event loop of a node stands still. */
	function pass(place: WaitPlace, node?: keyof typeof lateMs): void {
		if (passed.includes(place)) {
			return;
		}

		passed.push(place);
		leave(place);

		const {[place]: ms = 0} = request.waits;
		at += ms;
		if (node) {
			lateMs[node] += ms;
		}
	}

	let blocker: ServerResponse | undefined;
	const upstream = await startServer('127.0.0.1:0', (incoming, response) => {
		if (incoming.url === '/blocker') {
			blocker = response;
			return;
		}

		arrivedAt ??= at;
		response.end('done');
	});
	const gate = startGateTask({
		logger,
		now: () => at + 5000,
		readLag: meters.gate.read,
		readMaxWait: meters.gate.readMaxWait,
	});
	gate.announce('i-1', {
		team: '',
		service: 'pricebook',
		address: upstream.address,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	let isAttemptReceived = false;
	const peerServer = await startPeerServer({
		address: '127.0.0.1:0',
		gate: {
			...gate,
			async runAttempt(attempt) {
				const result = gate.runAttempt(attempt);
				isAttemptReceived = true;
				return result;
			},
		},
		logger,
		now: () => at + 5000,
		readLag: meters.gate.read,
		readMaxWait: meters.gate.readMaxWait,
		onAccepted() {
			pass('gate-accepted', 'gate');
		},
		handlers: createGateHandlers(gate),
	});
	const relay = await startRelay({
		target: peerServer.address,
		isHeld: () => request.waits.network !== undefined,
		onHold() {
			leave('network');
		},
		onData() {
			pass('network');
		},
	});

	const forwarder = createForwarder({
		now,
		readMaxWait: meters.caller.readMaxWait,
	});
	const callerGate = startGateTask({
		logger,
		now,
		readMaxWait: meters.caller.readMaxWait,
	});
	const hops: WaitPlace[] = [];
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate: callerGate,
		forwarder,
		logger,
		edge: {
			...defaultEdge,
			readCallerParameters: (headers) => ({
				...defaultEdge.readCallerParameters(headers),
				deadlineMs: request.deadlineMs,
			}),
		},
		observer: {
			createTraceparent() {
				// Called once for the request and once for each of its attempts.
				const place = hops.shift();
				if (place) {
					pass(place, 'caller');
				}

				return undefined;
			},
		},
		now,
		readLag: meters.caller.read,
		readMaxWait: meters.caller.readMaxWait,
		onAccepted() {
			pass('caller-accepted', 'caller');
		},
	});
	caller.updateRoutes({
		kind: 'document',
		document: {
			version: 1,
			routes: [createSampleRoute('a', {timeoutMs: 10_000})],
			services: {},
		},
	});
	const member = createSampleMember({
		name: 'abdali-2',
		address: relay.address,
	});
	const {dataCentre, address} = member;
	caller.updateMembers({
		self: createSampleMember(),
		members: [member],
		candidates: new Map([
			[
				'pricebook',
				[{host: member.name, address, dataCentre, slots: 1, sinceMs: 0}],
			],
		]),
	});
	const endReports = reportConnections(
		new Map([
			[
				relay.address,
				() => {
					pass('gate-connection', 'caller');
				},
			],
			[
				upstream.address,
				() => {
					pass('upstream-connection', 'gate');
				},
			],
		]),
	);

	/** Takes the only slot of the upstream until the returned function is called. */
	async function occupySlot(): Promise<() => Promise<void>> {
		blocker = undefined;
		isAttemptReceived = false;
		const result = gate.runAttempt(
			createSampleAttempt({
				id: `blocker-${at}`,
				service: 'pricebook',
				path: '/blocker',
				remainingMs: 60_000,
				stamp: gate.readStamp(),
			}),
		);
		await pollUntil(async () => blocker !== undefined, pollTimeoutMs);
		return async () => {
			await pollUntil(
				async () => isAttemptReceived || caller.readInFlight() === 0,
				pollTimeoutMs,
			);
			pass('gate-queue', 'gate');
			blocker?.end();
			await result;
		};
	}

	/** Sends the request on the client's connection, or on a new one. */
	async function sendFromClient(): Promise<void> {
		if (!client || client.destroyed) {
			client = connect(Number(caller.address.split(':')[1]), '127.0.0.1');
			client.on('error', () => {
				client?.destroy();
			});
			await once(client, 'connect');
		}

		leftAt = at + request.deadlineMs;
		client.write('GET /a/ HTTP/1.1\r\nhost: prices.example\r\n\r\n');
		pass('caller-socket', 'caller');
	}

	/** Waits until the request has been answered, or has had time to pass every place. */
	async function waitForEnd(): Promise<void> {
		const socket = client!;
		const response = {isReceived: false};
		socket.once('data', () => {
			response.isReceived = true;
		});
		for (
			let turn = 0;
			turn < maxTurns && !response.isReceived;
			turn += settlingTurns
		) {
			await waitForTurns(settlingTurns);
			await sleep(1);
		}

		await waitForTurns(settlingTurns);
	}

	return {
		async sendRequest(next) {
			request = {waits: {}, deadlineMs: next.deadlineMs};
			passed = [];
			const release =
				next.waits['gate-queue'] === undefined ? undefined : await occupySlot();
			request = next;
			passed = [];
			hops.splice(0, hops.length, 'caller-handling', 'attempt-created');
			arrivedAt = undefined;
			await sendFromClient();
			await Promise.all([release?.(), waitForEnd()]);
			return {
				arrivedAfterLeavingMs:
					arrivedAt === undefined ? undefined : arrivedAt - leftAt,
				passed,
			};
		},
		async stop() {
			endReports();
			client?.destroy();
			meters.caller.stop();
			meters.gate.stop();
			await Promise.all([caller.stop(), forwarder.stop(), callerGate.stop()]);
			relay.stop();
			await Promise.all([peerServer.stop(), gate.stop()]);
			await upstream.stop();
		},
	};
}
