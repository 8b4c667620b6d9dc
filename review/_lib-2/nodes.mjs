/* eslint-disable camelcase -- names on the wire, and flags that callbacks change */
/**
 * Starts nodes with the command of the deploy file, on loopback addresses, with
 * the settings of a small deployment.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {createServer, get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './http.mjs';

/** Exit code of a case that could not run. */
const unableCode = 2;

const root = path.resolve(import.meta.dirname, '..', '..');

function readCommand() {
	const text = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mv.exec(text).groups.command.split(' ');
}

/** Finds free ports on an address. */
async function findPorts(host, count) {
	const servers = Array.from({length: count}, () => createServer());
	const ports = [];
	for (const server of servers) {
		const address = await listen(server, host);
		ports.push(Number(address.split(':')[1]));
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}

async function readStatus(address) {
	return new Promise((resolve) => {
		const sent = get(`http://${address}/ready`, {agent: false}, (response) => {
			response.resume();
			resolve(response.statusCode);
		});
		sent.on('error', () => {
			resolve(0);
		});
		sent.setTimeout(1000, () => {
			sent.destroy();
		});
	});
}

/** Bounds of the site that the cases name, and the parts of its settings that a node reads. */
const commonSettings = {
	role: 'node',
	machine_class: 'sidecar',
	serves: ['sidecar'],
	seeds: [],
	bootstrap: true,
	fault_counted: false,
	data_dir: null,
	discovery: 'static',
	entry: 'static',
	heartbeat_interval_s: 1.5,
};

/**
 * Creates the starter of the nodes of a case.
 *
 * @param options - `storeAddress`, `bounds`, `zones`
 * @returns the starter
 */
export function createFleet({storeAddress, bounds, zones}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'boragehitch-case-'));
	const nodes = [];

	function killAll() {
		for (const {child, ended} of nodes) {
			if (ended === undefined) {
				child.kill('SIGKILL');
			}
		}
	}

	process.once('exit', killAll);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			process.exit(unableCode);
		});
	}

	async function createMachine({name, host, zone, service}) {
		const [inbound, outbound, ready, control, first] = await findPorts(host, 5);
		return {
			name,
			outbound: `${host}:${outbound}`,
			ready: `${host}:${ready}`,
			control: `${host}:${control}`,
			settings: {
				...commonSettings,
				node_name: name,
				ip: host,
				zone,
				region: 'prairie',
				zones: Object.fromEntries(zones.map((other) => [other, 'prairie'])),
				listen_addrs: {
					inbound: `${host}:${inbound}`,
					outbound: `${host}:${outbound}`,
					ready: `${host}:${ready}`,
					control: `${host}:${control}`,
				},
				internal_port_range: [first, first],
				limits: {
					cpu_share: 0.675,
					cores: 2,
					memory_mb: 602,
					max_fds: 8192,
					link_mbps: 140,
					disk_mb: 0,
				},
				fault_tolerance: {machines: 2, zones: 1, regions: 0},
				bounds,
				service,
				platform: {
					address: storeAddress,
					form: 'objects',
					writes_per_s: 1200,
					reads_per_s: 6000,
					history_s: 20,
					value_bytes: 1_048_576,
					ttl_min_s: 1,
				},
			},
		};
	}

	/** Starts the process of a machine. */
	function startNode(machine) {
		const file = path.join(folder, `${machine.name}.yaml`);
		writeFileSync(
			file,
			JSON.stringify({...machine.settings, app_addr: machine.appAddress}),
		);
		const [command, ...words] = readCommand();
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(command, words, {
			cwd: root,
			env: {PATH, HOME, LANG, BORAGEHITCH_NODE_FILE: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(folder, `${machine.name}.log`), {
			flags: 'a',
		});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		const node = {
			machine,
			child,
			startedAt: performance.now(),
			ended: undefined,
			exit: once(child, 'exit').then(([code, signal]) => {
				node.ended = {code, signal, at: performance.now()};
				return node.ended;
			}),
		};
		nodes.push(node);
		return node;
	}

	return {
		folder,
		createMachine,
		startNode,
		async waitUntilReady(node, limitMs = 20_000) {
			const endsAt = performance.now() + limitMs;
			while (performance.now() < endsAt && node.ended === undefined) {
				if ((await readStatus(node.machine.ready)) === 200) {
					return true;
				}

				await sleep(50);
			}

			return false;
		},
		/** Ends all processes that the fleet has started, and removes their settings and logs unless KEEP_LOGS is set. */
		async stopAll() {
			killAll();
			await Promise.all(nodes.map(async ({exit}) => exit));
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
}
