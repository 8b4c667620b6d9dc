import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {stringify} from 'ini';
import {startProcess, type FleetProcess} from './start-process.js';

/** Arguments of the runtime with which a node is run, as in `cli/main`. */
const nodeRuntimeArguments = ['--max-semi-space-size=2'];

/** Options of `startHost`. */
export type HostOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly platformUrl: string;
	readonly team: string;
	/** Service of the upstream on the host; none when absent. */
	readonly service?: string;
	readonly seeds?: readonly string[];
	readonly serviceMs?: number;
	readonly logLevel?: string;
	/** Arguments of the runtime for the node, such as `--cpu-prof`. */
	readonly runtimeArguments?: readonly string[];
	/** Further sections of the settings file. */
	readonly settings?: Readonly<
		Record<string, Readonly<Record<string, string>>>
	>;
};

/** A host: its node and perhaps an upstream, as processes. */
export type Host = {
	readonly name: string;
	readonly dataCentre: string;
	readonly service: string | undefined;
	readonly node: FleetProcess;
	readonly upstream: FleetProcess | undefined;
	/** Stops the upstream and then the node. */
	stop(): Promise<void>;
};

/**
 * Starts a host of a fleet on this machine: a node and perhaps an upstream.
 *
 * @param options - see `HostOptions`
 * @returns the running host
 * @throws when a process does not become ready
 * @example
 * await startHost({name: 'abdali-1', dataCentre: 'abdali', platformUrl, team});
 */
export async function startHost(options: HostOptions): Promise<Host> {
	const {name, dataCentre, platformUrl, team, service} = options;
	const {seeds = [], serviceMs = 1, logLevel = 'warn'} = options;
	const {runtimeArguments = nodeRuntimeArguments, settings = {}} = options;
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-'));
	const file = path.join(folder, 'node.ini');
	await writeFile(
		file,
		stringify({
			node: {
				name,
				dataCentre,
				callers: '127.0.0.1:0',
				peers: '127.0.0.1:0',
				administration: '127.0.0.1:0',
			},
			platform: {url: platformUrl},
			members: {seeds: seeds.join(',')},
			log: {level: logLevel},
			...settings,
		}),
	);
	const node = await startProcess(
		'node',
		['node', '--config', file],
		runtimeArguments,
	);
	await rm(folder, {recursive: true});
	const upstream = service
		? await startProcess('upstream', [
				'--service',
				service,
				'--team',
				team,
				'--id',
				`${name}-${service}`,
				'--node',
				`http://${node.ready.administration}`,
				'--service-ms',
				String(serviceMs),
			])
		: undefined;
	return {
		name,
		dataCentre,
		service,
		node,
		upstream,
		async stop() {
			await upstream?.stop();
			await node.stop();
		},
	};
}
