import {request} from 'undici';
import {startHost} from '../../harness/start-host.js';
import {startProcess, type FleetProcess} from '../../harness/start-process.js';
import {pollUntil} from '../../harness/poll-until.js';
import {createChainManifests} from './create-chain-manifests.js';

/** A fleet in which each service calls the next. */
export type Chain = {
	/** Caller's URL of the first node without an upstream. */
	readonly edgeUrl: string;
	/** Caller's URLs of the other nodes without an upstream. */
	readonly otherEdgeUrls: readonly string[];
	/** URLs of the upstreams of the first service. */
	readonly firstUrls: readonly string[];
	/** Node processes by role. */
	readonly edge: FleetProcess;
	readonly gates: readonly FleetProcess[];
	readonly firstUpstreams: readonly FleetProcess[];
	stop(): Promise<void>;
};

/** Options of `startChain`. */
export type ChainOptions = {
	readonly depth: number;
	readonly hostsPerService: number;
	readonly serviceMs: number;
	readonly deadlineMs: number;
	readonly slots?: number;
	/** Nodes without an upstream beside the first. */
	readonly otherEdges?: number;
	/** Arguments of the runtime for the nodes, such as `--cpu-prof`. */
	readonly runtimeArguments?: readonly string[];
};

const readyTimeoutMs = 30_000;

async function submit(administration: string, manifest: unknown) {
	const {statusCode, body} = await request(
		`http://${administration}/manifests`,
		{method: 'POST', body: JSON.stringify(manifest)},
	);
	const text = await body.text();
	if (statusCode !== 200) {
		throw new Error(`manifest not accepted: ${text}`);
	}
}

/**
 * Starts a fleet of real processes: one node without an upstream, which takes
 * the callers' requests, and for each service of the chain some hosts.
 *
 * @param options - see `ChainOptions`
 * @returns the running fleet, with every route live
 * @throws when the fleet does not become ready
 * @example
 * await startChain({depth: 1, hostsPerService: 2, serviceMs: 1, deadlineMs: 2000});
 */
export async function startChain(options: ChainOptions): Promise<Chain> {
	const {depth, hostsPerService, serviceMs, deadlineMs} = options;
	const {slots = 6, otherEdges = 0, runtimeArguments = []} = options;
	const platform = await startProcess('platform', []);
	const started: Array<{stop(): Promise<unknown>}> = [platform];
	const startNode = async (name: string) => {
		const host = await startHost({
			name,
			dataCentre: 'abdali',
			platformUrl: platform.ready.url!,
			team: 'bench',
			logLevel: 'error',
			runtimeArguments,
		});
		started.push(host);
		return host.node;
	};

	const edge = await startNode('edge');
	const others: FleetProcess[] = [];
	for (let index = 0; index < otherEdges; index++) {
		others.push(await startNode(`edge-${index}`));
	}

	const gates: FleetProcess[] = [];
	let next: FleetProcess[] = [];
	for (let level = depth; level >= 1; level--) {
		const nodes = await Promise.all(
			Array.from({length: hostsPerService}, async (_, index) =>
				startNode(`s${level}-${index}`),
			),
		);
		const after: readonly FleetProcess[] = next;
		next = await Promise.all(
			nodes.map(async (node, index) =>
				startProcess('chain', [
					`--service=s${level}`,
					`--id=s${level}-${index}`,
					`--node=http://${node.ready.administration}`,
					`--slots=${slots}`,
					`--service-ms=${serviceMs}`,
					`--next-node=http://${node.ready.callers}/bench/s${level + 1}`,
					`--next-direct=${after.map(({ready}) => ready.url).join(',')}`,
				]),
			),
		);
		gates.unshift(...nodes);
		started.push(...next);
	}

	for (const manifest of createChainManifests(depth, deadlineMs)) {
		await submit(edge.ready.administration!, manifest);
	}

	const chain: Chain = {
		edgeUrl: `http://${edge.ready.callers}`,
		otherEdgeUrls: others.map(({ready}) => `http://${ready.callers}`),
		firstUrls: next.map(({ready}) => ready.url!),
		edge,
		gates,
		firstUpstreams: next,
		async stop() {
			await Promise.all(started.toReversed().map(async (item) => item.stop()));
		},
	};
	const isReady = await pollUntil(async () => {
		for (const node of [edge, ...others, ...gates]) {
			for (let level = 1; level <= depth; level++) {
				const url = `http://${node.ready.callers}/bench/s${level}`;
				const {statusCode, body} = await request(url);
				await body.dump();
				if (statusCode !== 200) {
					return false;
				}
			}
		}

		return true;
	}, readyTimeoutMs);
	if (!isReady) {
		await chain.stop();
		throw new Error('the chain did not become ready');
	}

	return chain;
}
