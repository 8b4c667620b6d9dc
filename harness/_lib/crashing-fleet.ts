/**
 * Nodes of the users' platform with upstreams that crash, for tests.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {MeshSettings} from '../../src/protocol/mesh-settings.js';
import {pollUntil} from '../poll-until.js';
import {
	announceUpstream,
	findAddresses,
	readyTimeoutMs,
	sendRequest,
	startPlatformNode,
	startStore,
} from './platform-node.js';

/** Usual time after which an upstream crashes that has begun to run a crashing request, ms. */
const defaultCrashAfterMs = 5;

/** Time after which a crashed upstream starts again, ms. */
const restartAfterMs = 150;

/** Usual service time of the upstreams, ms. */
const serviceMs = 20;

/** An upstream of the fleet. */
export type CrashingUpstream = {
	readonly settings: MeshSettings;
	/** Paths of the requests that it has begun to run. */
	readonly runs: string[];
	isUp(): boolean;
	/** Crashes at once and starts again under the same identifier. */
	crash(): Promise<void>;
	/** Stops the node beside it and starts it again. */
	restartNode(): Promise<void>;
};

/** A started fleet. */
export type CrashingFleet = {
	readonly upstreams: readonly CrashingUpstream[];
	/** Starts a further node with an upstream. */
	addHost(): Promise<CrashingUpstream>;
	/** Replaces the software of all upstreams by a version that answers every request. */
	mend(): Promise<void>;
	/** Waits until every upstream is up, and every node is ready and serves a request. */
	waitUntilUp(): Promise<void>;
};

/**
 * Starts nodes whose upstreams crash when they run a request whose path
 * contains `dead`.
 *
 * @param t - test at whose end everything stops
 * @param hosts - number of nodes
 * @param crashAfterMs - time from the begin of such a request to the crash, ms
 */
export async function startCrashingFleet(
	t: TestContext,
	hosts: number,
	crashAfterMs = defaultCrashAfterMs,
): Promise<CrashingFleet> {
	const store = await startStore(t);
	const upstreams: CrashingUpstream[] = [];
	let isStopped = false;
	let isMended = false;
	let lastProbe = 0;

	async function addHost(): Promise<CrashingUpstream> {
		const number = upstreams.length + 1;
		const name = `abdali-${number}`;
		const started = await startPlatformNode(t, name, store);
		const {settings} = started;
		let {node} = started;
		const [address] = await findAddresses(1, t);
		const [host, port] = address!.split(':');
		const runs: string[] = [];
		let born = 0;
		let server: Server | undefined;

		const handle: RequestListener = (request, response) => {
			const path = request.url!;
			runs.push(path);
			request.resume();
			if (path.includes('dead') && !isMended) {
				setTimeout(() => {
					void crash();
				}, crashAfterMs);
				return;
			}

			setTimeout(() => {
				response.setHeader('x-boragehitch-response-signature', 'signed');
				response.setHeader(
					'x-boragehitch-request-id',
					String(request.headers['x-boragehitch-request-id']),
				);
				response.end('price');
			}, serviceMs);
		};

		async function startUpstream(): Promise<void> {
			born++;
			const started = createServer(handle);
			started.listen(Number(port), host);
			await once(started, 'listening');
			server = started;
			await announce();
		}

		async function announce(): Promise<void> {
			await announceUpstream(settings, address!, {
				id: `i-${number}`,
				born,
				sequence: 1,
				version: isMended ? 'v2' : 'v1',
			});
		}

		async function restartNode(): Promise<void> {
			await node.stop();
			({node} = await startPlatformNode(t, name, store, settings));
			await announce();
		}

		async function crash(): Promise<void> {
			const crashed = server;
			if (!crashed) {
				return;
			}

			server = undefined;
			crashed.close();
			crashed.closeAllConnections();
			await sleep(restartAfterMs);
			if (!isStopped) {
				await startUpstream();
			}
		}

		t.after(() => {
			isStopped = true;
			server?.close();
			server?.closeAllConnections();
		});
		await startUpstream();
		const upstream = {
			settings,
			runs,
			crash,
			restartNode,
			isUp: () => server !== undefined,
		};
		upstreams.push(upstream);
		return upstream;
	}

	async function waitUntilUp(): Promise<void> {
		const isUp = await pollUntil(async () => {
			if (!upstreams.every((upstream) => upstream.isUp())) {
				return false;
			}

			const answers = await Promise.all(
				upstreams.flatMap(({settings}) => [
					sendRequest(settings.callers, `/prices/probe-${++lastProbe}`),
					sendRequest(settings.readiness, '/ready'),
				]),
			);
			return answers.every(({status}) => status === 200);
		}, readyTimeoutMs);
		assert.ok(isUp, 'not every node serves requests');
	}

	for (let number = 0; number < hosts; number++) {
		await addHost();
	}

	await waitUntilUp();
	return {
		upstreams,
		addHost,
		waitUntilUp,
		async mend() {
			isMended = true;
			await Promise.all(upstreams.map(async (upstream) => upstream.crash()));
		},
	};
}

/** Counts how often the upstreams have begun to run requests of a path. */
export function countRuns(
	upstreams: readonly CrashingUpstream[],
	path: string,
): number {
	return upstreams.flatMap(({runs}) => runs).filter((run) => run === path)
		.length;
}
