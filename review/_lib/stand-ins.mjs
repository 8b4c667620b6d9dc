/* eslint-disable camelcase -- the names of the platform's settings, messages and configuration */
/**
 * Stand-ins for the platform's store and for application servers, and a
 * launcher for the deployed node program.
 */
import {Buffer} from 'node:buffer';
import {fork, spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {appendFileSync, readFileSync, writeFileSync} from 'node:fs';
import {Agent, createServer, request as startRequest} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Ports of a node on its own loopback address. */
const ports = {
	server: 8301,
	readiness: 8302,
	callers: 8304,
	announcements: 8306,
	store: 8309,
	peers: 7620,
	lastPeer: 7635,
};

const historyLength = 4096;
const pageLimit = 500;
const heartbeatIntervalMs = 870;

/** Creates a record of what was sent, answered and run. */
export function createRecord(file) {
	const startedAt = performance.now();
	writeFileSync(file, '');
	return {
		write(text) {
			const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
			appendFileSync(file, `${seconds.padStart(8)} ${text}\n`);
		},
	};
}

const children = new Set();

// No process that was started here outlasts this one.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
process.on('SIGTERM', () => {
	process.exit(2);
});

/** Picks a loopback network that is unlikely to be in use. */
export function pickNetwork() {
	return `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
}

async function listen(server, host, port) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}

async function readText(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** Starts a store that keeps objects, revisions and a history for watches. */
export async function startStore({host, era} = {}) {
	const objects = new Map();
	const events = [];
	const watches = new Set();
	let revision = 100;

	function sendJson(response, status, body) {
		const text = typeof body === 'string' ? body : JSON.stringify(body);
		response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
			...(era !== undefined && {'store-era': String(era)}),
		});
		response.end(text);
	}

	function write(kind, name, spec, status) {
		const key = `${kind}/${name}`;
		const before = objects.get(key);
		revision++;
		const object = {
			metadata: {
				name,
				revision,
				created_rev: before?.metadata.created_rev ?? revision,
				finalizers: [],
				deleting: false,
			},
			spec,
			status: status ?? before?.status ?? null,
		};
		objects.set(key, object);
		addEvent(kind, object, false);
		return object;
	}

	function addEvent(kind, object, deleted) {
		events.push({kind, revision, event: {object, deleted}});
		if (events.length > historyLength) {
			events.shift();
		}

		for (const watch of watches) {
			watch(kind);
		}
	}

	function answerWatch(response, kind, after, waitMs) {
		function answer(isForced) {
			const found = events.filter(
				(entry) => entry.kind === kind && entry.revision > after,
			);
			if (found.length === 0 && !isForced) {
				return false;
			}

			sendJson(response, 200, {
				events: found.map(({event}) => event),
				current_rev: revision,
			});
			return true;
		}

		if (answer(false)) {
			return;
		}

		const check = (changed) => {
			if (changed === kind && answer(false)) {
				stop();
			}
		};

		const timer = setTimeout(() => {
			stop();
			answer(true);
		}, waitMs);
		function stop() {
			clearTimeout(timer);
			watches.delete(check);
		}

		watches.add(check);
		response.once('close', stop);
	}

	function answerRead(response, url, kind, name) {
		if (name !== undefined) {
			const object = objects.get(`${kind}/${name}`);
			sendJson(response, object ? 200 : 404, object ?? {error: 'none'});
			return;
		}

		const query = url.searchParams;
		if (query.has('watch')) {
			const waitMs = Number(query.get('wait_ms') ?? 0);
			answerWatch(response, kind, Number(query.get('watch')), waitMs);
			return;
		}

		const after = query.get('after') ?? '';
		const items = [...objects.entries()]
			.filter(([key]) => key.startsWith(`${kind}/`))
			.map(([, object]) => object)
			.filter(({metadata}) => metadata.name > after)
			.toSorted((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		sendJson(response, 200, {
			items: items.slice(0, pageLimit),
			more: items.length > pageLimit,
			current_rev: revision,
		});
	}

	function answerWrite(response, {method, kind, name, isStatus, url, body}) {
		const target = method === 'POST' ? body?.metadata?.name : name;
		const key = `${kind}/${target}`;
		const before = objects.get(key);
		const expected =
			body?.metadata?.revision ??
			(url.searchParams.has('revision')
				? Number(url.searchParams.get('revision'))
				: undefined);
		if (method !== 'POST' && !before) {
			sendJson(response, 404, {error: 'none'});
		} else if (
			(method === 'POST' && before) ||
			(expected !== undefined &&
				before &&
				expected !== before.metadata.revision)
		) {
			sendJson(response, 409, before);
		} else if (method === 'DELETE') {
			objects.delete(key);
			revision++;
			addEvent(kind, before, true);
			sendJson(response, 200, before);
		} else if (isStatus) {
			sendJson(response, 200, write(kind, target, before.spec, body.status));
		} else {
			sendJson(response, 200, write(kind, target, body.spec));
		}
	}

	const server = createServer(async (request, response) => {
		const url = new URL(`http://store${request.url}`);
		const [, root, kind, name, part] = url.pathname
			.split('/')
			.map((text) => decodeURIComponent(text));
		const text = await readText(request);
		if (root !== 'objects') {
			sendJson(response, 404, {error: 'unknown'});
		} else if (request.method === 'GET') {
			answerRead(response, url, kind, name);
		} else {
			answerWrite(response, {
				method: request.method,
				kind,
				name,
				isStatus: part === 'status',
				url,
				body: text === '' ? undefined : JSON.parse(text),
			});
		}
	});
	server.keepAliveTimeout = 60_000;
	await listen(server, host, ports.store);
	return {
		address: `${host}:${ports.store}`,
		write,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Reads the command of the node from the deploy file. */
function readCommand() {
	const text = readFileSync('deploy/system.toml', 'utf8');
	return /^run = "(?<run>.*)"$/mv.exec(text).groups.run.split(' ');
}

/** Starts a node with the command of the deploy file. */
export function startNode({
	name,
	zone,
	host,
	service,
	store,
	directory,
	heartbeatSeconds = 0.87,
	changes = {},
}) {
	const file = path.join(directory, `${name}.yaml`);
	const settings = {
		node_name: name,
		role: 'node',
		machine_class: 'sidecar',
		serves: ['sidecar'],
		ip: host,
		zone,
		listen_addrs: {
			inbound: `${host}:8300`,
			outbound: `${host}:${ports.callers}`,
			ready: `${host}:${ports.readiness}`,
			control: `${host}:${ports.announcements}`,
		},
		internal_port_range: [ports.peers, ports.lastPeer],
		seeds: [],
		limits: {
			cpu_share: 0.54,
			cores: 1,
			memory_mb: 350,
			max_fds: 4100,
			link_mbps: 1000,
		},
		heartbeat_interval_s: heartbeatSeconds,
		bounds: {
			stability_window_s: 3,
			drain_s: 2,
			grace_s: 6,
			config_apply_s: 2,
			retry_ratio: 0.2,
			retry_window_s: 10,
			retry_slack: 56,
		},
		app_addr: `${host}:${ports.server}`,
		service,
		platform: {
			address: store,
			form: 'objects',
			writes_per_s: 400,
			reads_per_s: 2000,
			history_s: 20,
			value_bytes: 1_048_576,
		},
		...changes,
	};
	// JSON is also YAML.
	writeFileSync(file, JSON.stringify(settings));
	const [program, ...words] = readCommand();
	const child = spawn(program, words, {
		env: {PATH: process.env.PATH, HOME: directory, BORAGEHITCH_NODE_FILE: file},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	children.add(child);
	const log = [];
	for (const stream of [child.stdout, child.stderr]) {
		stream.on('data', (chunk) => {
			log.push(String(chunk));
		});
	}

	const node = {
		name,
		host,
		child,
		callers: `${host}:${ports.callers}`,
		end: undefined,
		readLog: () => log.join(''),
		async kill() {
			child.kill('SIGKILL');
			await node.exited;
		},
	};
	node.exited = new Promise((resolve) => {
		child.once('exit', (code, signal) => {
			node.end = {code, signal};
			resolve(node.end);
		});
	});
	return node;
}

/** Waits until a node counts itself as ready. */
export async function waitUntilReady(node, timeoutMs = 20_000) {
	const address = `${node.host}:${ports.readiness}`;
	const deadline = performance.now() + timeoutMs;
	while (performance.now() < deadline && node.end === undefined) {
		const answer = await send(address, {path: '/ready'});
		if (answer.status === 200) {
			return true;
		}

		await sleep(100);
	}

	return false;
}

/** Sends a request on a new connection; the status is 0 when it fails. */
export async function send(
	address,
	{method = 'GET', path: target, headers = {}, body, timeoutMs = 5000},
) {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const sent = startRequest(
			{host, port, method, path: target, headers, agent: false},
			async (response) => {
				try {
					const text = await readText(response);
					resolve({
						status: response.statusCode,
						headers: response.headers,
						text,
					});
				} catch (error) {
					resolve({status: 0, error: String(error)});
				}
			},
		);
		sent.setTimeout(timeoutMs, () => {
			sent.destroy(new Error('timed out'));
		});
		sent.on('error', (error) => {
			resolve({status: 0, error: String(error)});
		});
		sent.end(body);
	});
}

/** Sends the heartbeats of a server to its node. */
export function startHeartbeats({host, id, service, zone, born = Date.now()}) {
	const state = {sequence: 0, name: 'ready', isStopped: false};
	async function sendHeartbeat() {
		state.sequence++;
		return send(`${host}:${ports.announcements}`, {
			method: 'POST',
			path: `/instances/${id}/heartbeat`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				address: `${host}:${ports.server}`,
				born,
				info: {service, version: 'v1', zone, slots: 6},
				status: {
					state: state.name,
					sequence: state.sequence,
					cold_remaining_s: 0,
				},
			}),
			timeoutMs: 1000,
		});
	}

	async function repeat() {
		while (!state.isStopped) {
			await sendHeartbeat();
			await sleep(heartbeatIntervalMs);
		}
	}

	repeat();
	return {
		async drain() {
			state.name = 'draining';
			return sendHeartbeat();
		},
		stop() {
			state.isStopped = true;
		},
	};
}

export const serverPort = ports.server;

/** Starts a server as a process of its own, and its heartbeats. */
export async function startServer({host, id, service, zone, workMs, onRun}) {
	const child = fork(
		new URL('server.mjs', import.meta.url),
		[JSON.stringify({host, port: ports.server, id, workMs})],
		{stdio: 'inherit'},
	);
	children.add(child);
	await new Promise((resolve) => {
		child.once('message', resolve);
	});
	child.on('message', onRun);
	const heartbeats = startHeartbeats({host, id, service, zone});
	return {
		id,
		setTrouble(trouble) {
			child.send(trouble);
		},
		stop() {
			heartbeats.stop();
			child.kill('SIGKILL');
		},
	};
}

/** Creates a client that sends its requests on one kept connection. */
export function createClient(address) {
	const [host, port] = address.split(':');
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	return {
		async send({method = 'GET', path: target, headers, body}) {
			return new Promise((resolve) => {
				const sent = startRequest(
					{host, port, method, path: target, headers, agent},
					async (response) => {
						try {
							const text = await readText(response);
							resolve({status: response.statusCode, text});
						} catch (error) {
							resolve({status: 0, error: String(error), isRead: true});
						}
					},
				);
				sent.on('error', (error) => {
					resolve({status: 0, error: error.code, isReused: sent.reusedSocket});
				});
				sent.end(body);
			});
		},
		stop() {
			agent.destroy();
		},
	};
}

/** Formats a configuration as the operator writes it. */
export function formatConfiguration(version, {routes, services}) {
	return {
		version: version.toString(16).padStart(8, '0'),
		resources: [
			...routes.map(({name, ...spec}) => ({
				resource_type: 'routes',
				metadata: {name},
				spec,
			})),
			...services.map((name) => ({
				resource_type: 'services',
				metadata: {name},
				spec: {
					health_path: '/health',
					max_connections: 110,
					protocol: 'h1',
					tls: false,
				},
			})),
			{
				resource_type: 'limits',
				metadata: {},
				spec: {
					max_header_bytes: 16_384,
					max_body_bytes: 67_108_864,
					header_timeout_s: 3,
					idle_timeout_s: 15,
				},
			},
		],
	};
}
