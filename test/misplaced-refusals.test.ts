/**
 * Tests of upstreams that write a refusal which is not the one of the request
 * that they run on a kept connection, on real nodes.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {twoAttemptsDocument} from '../fakes/platform-document.js';
import {
	announceUpstream,
	sendRequest,
	startPlatformNode,
	startStore,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';
import {
	formatRawResponse,
	startRawUpstream,
	type RawRequest,
	type RawUpstream,
	type RawUpstreamOptions,
} from '../harness/_lib/raw-upstream.js';
import type {MeshSettings} from '../src/protocol/mesh-settings.js';

/** Statuses that say that a request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Time after which an upstream writes something late, ms. */
const lateMs = 4;

/** A request that an upstream runs on a connection that has had others. */
type Run = RawRequest & {
	/** The response that is due. */
	readonly response: string;
	/** The refusal that is not the one of the request. */
	readonly misplaced: string;
};

type Moment = {
	readonly name: string;
	/** Runs a request, and writes its response and the misplaced refusal. */
	readonly respond: (run: Run) => void;
	/** Whether the refusal is written as soon as the head has arrived; false when absent. */
	readonly isAfterHead?: boolean;
	/** Whether the upstream refuses every second request that is the first on its connection; false when absent. */
	readonly refusesFirst?: boolean;
};

const moments: readonly Moment[] = [
	{
		name: 'in place of the response',
		respond({socket, misplaced}) {
			socket.write(misplaced);
		},
	},
	{
		name: 'before the response',
		respond({socket, response, misplaced}) {
			socket.write(misplaced + response);
		},
	},
	{
		name: 'after the response',
		respond({socket, response, misplaced}) {
			socket.write(response + misplaced);
		},
	},
	{
		name: 'beside a refusal',
		refusesFirst: true,
		respond({socket, response}) {
			socket.write(response);
		},
	},
	{
		name: 'on the idle connection',
		respond({socket, response, misplaced}) {
			socket.write(response);
			setTimeout(() => {
				socket.write(misplaced);
			}, 1);
		},
	},
	{
		name: 'after the head',
		isAfterHead: true,
		respond({socket, response}) {
			setTimeout(() => {
				socket.write(response);
			}, lateMs);
		},
	},
	{
		name: 'in two pieces',
		respond({socket, misplaced}) {
			const middle = Math.floor(misplaced.length / 2);
			socket.write(misplaced.slice(0, middle));
			setTimeout(() => {
				socket.write(misplaced.slice(middle));
			}, lateMs);
		},
	},
	{
		name: 'before a reset',
		respond({socket, misplaced}) {
			socket.write(misplaced, () => {
				socket.resetAndDestroy();
			});
		},
	},
	{
		name: 'as the end of the connection',
		respond({socket, misplaced}) {
			socket.end(misplaced.replace('content-length: 0', 'connection: close'));
		},
	},
	{
		name: 'after an interim response',
		respond({socket, response, misplaced}) {
			socket.write(`HTTP/1.1 102 Processing\r\n\r\n${misplaced}${response}`);
		},
	},
];

/** Which request the refusal names. */
const namings = ['earlier', 'none', 'other'] as const;
const statuses = [503, 429, 421, 408] as const;

type Way = {
	readonly moment: Moment;
	readonly naming: (typeof namings)[number];
	readonly status: (typeof statuses)[number];
};

/** Each moment with each naming; the statuses take turns. */
const ways: readonly Way[] = moments.flatMap((moment, momentIndex) =>
	namings.map((naming, namingIndex) => ({
		moment,
		naming,
		status: statuses[(momentIndex + namingIndex) % statuses.length]!,
	})),
);

const nodeCount = 4;

/** The requests that each client sends in turn. */
const requests = [
	{method: 'POST', path: '/orders/lamb', body: 'lamb'},
	{method: 'POST', path: '/orders/lamb', body: 'a'.repeat(100_000)},
	{method: 'POST', path: '/orders/beef', body: 'beef'},
	{method: 'GET', path: '/prices/lamb'},
	{method: 'POST', path: '/orders/beef', body: 'a'.repeat(100_000)},
	{method: 'POST', path: '/photos/lamb', body: 'a'.repeat(600_000)},
] as const;

function formatRefusal(status: number, id: string | undefined): string {
	const idLine = id === undefined ? '' : `x-boragehitch-request-id: ${id}\r\n`;
	return `HTTP/1.1 ${status} Refused\r\nx-boragehitch-not-executed: 1\r\n${idLine}content-length: 0\r\n\r\n`;
}

/** Creates the behaviour of upstreams that can be told in which way to fail. */
function createResponder() {
	/** The last request of each connection that has had one. */
	let earlierIds = new Map<Socket, string>();
	let way: Way | undefined;
	let firstCount = 0;

	function formatMisplaced(
		{status, naming}: Way,
		{socket}: RawRequest,
	): string {
		const ids = {
			earlier: earlierIds.get(socket),
			none: undefined,
			other: 'order-of-another-client',
		};
		return formatRefusal(status, ids[naming]);
	}

	const options: RawUpstreamOptions = {
		onHead(request) {
			if (way?.moment.isAfterHead && earlierIds.has(request.socket)) {
				request.socket.write(formatMisplaced(way, request));
			}
		},
		respond(request): boolean {
			const {id, socket} = request;
			const response = formatRawResponse(id);
			const isFirst = !earlierIds.has(socket);
			if (!way) {
				socket.write(response);
				return true;
			}

			const {moment, status} = way;
			const misplaced = formatMisplaced(way, request);
			earlierIds.set(socket, id);
			if (!isFirst) {
				moment.respond({...request, response, misplaced});
				return true;
			}

			firstCount++;
			if (moment.refusesFirst && firstCount % 2 === 0) {
				socket.write(formatRefusal(status, id) + misplaced);
				return false;
			}

			socket.write(response);
			return true;
		},
	};
	return {
		options,
		setWay(next: Way) {
			way = next;
			earlierIds = new Map();
		},
	};
}

async function startFleet(t: TestContext, options: RawUpstreamOptions) {
	const storeAddress = await startStore(t, twoAttemptsDocument);
	const upstreams: RawUpstream[] = [];
	const nodes: MeshSettings[] = [];
	let sequence = 0;
	for (let number = 1; number <= nodeCount; number++) {
		const name = `abdali-${number}`;
		const {settings} = await startPlatformNode(t, name, storeAddress);
		upstreams.push(await startRawUpstream(t, options));
		nodes.push(settings);
	}

	const fleet = {
		nodes,
		/** Keeps the upstreams announced. */
		async heartbeat(): Promise<void> {
			sequence++;
			for (const [index, settings] of nodes.entries()) {
				const {address} = upstreams[index]!;
				const heartbeat = {id: settings.name, sequence};
				await announceUpstream(settings, address, heartbeat);
			}
		},
		countRuns: (id: string): number =>
			upstreams.reduce((sum, {runs}) => sum + (runs.get(id) ?? 0), 0),
	};
	await fleet.heartbeat();
	for (const settings of nodes) {
		await waitUntilServed(settings);
	}

	return fleet;
}

test('a refusal that is not the one of the request says nothing of it', async (t) => {
	const responder = createResponder();
	const {nodes, heartbeat, countRuns} = await startFleet(t, responder.options);
	const failures: unknown[] = [];
	for (const [index, way] of ways.entries()) {
		await heartbeat();
		responder.setWay(way);
		const falseRefusals: string[] = [];
		const repeated: string[] = [];
		let runCount = 0;

		async function sendAll({callers, name}: MeshSettings): Promise<void> {
			for (const [number, {path, ...request}] of requests.entries()) {
				const id = `${name}-${index}-${number}`;
				const {status} = await sendRequest(callers, path, {
					...request,
					id,
					agent: false,
				});
				const runs = countRuns(id);
				runCount += runs;
				if (request.method === 'POST' && runs > 0) {
					if (notRunStatuses.has(status)) {
						falseRefusals.push(id);
					}

					if (runs > 1) {
						repeated.push(id);
					}
				}
			}
		}

		await Promise.all(nodes.map(async (settings) => sendAll(settings)));
		// Nothing is shown by upstreams that get no requests.
		assert.ok(runCount >= requests.length, `${runCount} requests were run`);
		if (falseRefusals.length + repeated.length > 0) {
			const {moment, naming, status} = way;
			failures.push({
				way: `${status} ${moment.name}, naming ${naming}`,
				falseRefusals: falseRefusals.length,
				repeated: repeated.length,
			});
		}
	}

	assert.deepEqual(failures, []);
});
