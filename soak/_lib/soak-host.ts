import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, open, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatPlatformSettings} from '../../fakes/platform-settings.js';
import {runningChildren} from '../../harness/_lib/running-children.js';
import {settingsFileVariable} from '../../platform/wire-names.js';
import {resolveProgram} from '../../harness/resolve-program.js';
import type {History, NodeDisturbance} from './history.js';
import {
	startSoakUpstream,
	type LoadReport,
	type SoakUpstream,
} from './soak-upstream.js';
import {startProxy, type Proxy} from './start-proxy.js';

/** A host of the soak: the real node as a process, and what stands around it. */
export type SoakHost = {
	readonly name: string;
	readonly callers: string;
	readonly upstream: SoakUpstream;
	readonly upstreamLink: Proxy;
	readonly storeLink: Proxy;
	/** Sends SIGTERM, and starts the node again when it has ended. */
	restart(): Promise<void>;
	/** Sends SIGKILL, and starts the node again after a time. */
	kill(awayMs: number): Promise<void>;
	/** Stops the process with SIGSTOP for a time. */
	freeze(durationMs: number): Promise<void>;
	/** Leaves the process less than half of its time, by SIGSTOP and SIGCONT in turn; others may stop it meanwhile. */
	starve(durationMs: number): Promise<void>;
	/** Sends SIGHUP, if the process has begun to run. */
	reload(): Promise<void>;
	stop(): Promise<void>;
};

/** Options of `startSoakHost`. */
export type SoakHostOptions = {
	readonly name: string;
	readonly dataCentre: string;
	/** Loopback address of the host. */
	readonly ip: string;
	readonly storeAddress: string;
	/** How the upstream reports its load. */
	readonly loadReport: LoadReport;
	/** Returns how long the upstream works on a request, ms. */
	readonly readServiceTime: (id: string) => number;
	/** Where the node's lines go. */
	readonly logFolder: string;
	readonly history: History;
	/** Monotonic ms. */
	readonly now: () => number;
};

const ports = {callers: 8300, app: 8301, ready: 8302, control: 8306} as const;
const linkPort = 8311;
const storePort = 8312;
const peersPort = 7620;
const graceMs = 6000;

/** Time after a disturbance in which it may still explain what a client saw, ms. */
const afterMs = 1000;

/** Times of a starved process: how long it is stopped, and how long it runs after that, ms. */
const starvedStopMs = 25;
const starvedRunMs = 20;

/** Tells whether a process has a handler of SIGHUP. */
async function catchesHangUp({pid}: ChildProcess): Promise<boolean> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		const [, mask = '0'] = /^SigCgt:\s*(\w+)$/mv.exec(status) ?? [];
		return Number.parseInt(mask.slice(-1), 16) % 2 === 1;
	} catch {
		// The process has ended.
		return false;
	}
}

/** Starts a host: a node, its upstream, and proxies to upstream and store. */
export async function startSoakHost(
	options: SoakHostOptions,
): Promise<SoakHost> {
	const {name, ip, history, now} = options;
	const storeLink = await startProxy(
		{host: ip, port: storePort},
		options.storeAddress,
	);
	const upstreamLink = await startProxy(
		{host: ip, port: linkPort},
		`${ip}:${ports.app}`,
	);
	const upstream = await startSoakUpstream({
		host: ip,
		port: ports.app,
		address: upstreamLink.address,
		control: `${ip}:${ports.control}`,
		loadReport: options.loadReport,
		readServiceTime: options.readServiceTime,
		history,
		now,
	});
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-soak-'));
	const file = path.join(folder, 'boot.yaml');
	await writeFile(
		file,
		formatPlatformSettings({
			name,
			dataCentre: options.dataCentre,
			ip,
			callersPort: ports.callers,
			readinessPort: ports.ready,
			announcementsPort: ports.control,
			peersPort,
			upstreamAddress: upstreamLink.address,
			store: storeLink.address,
			graceMs,
		}),
	);
	const log = await open(path.join(options.logFolder, `${name}.log`), 'a');
	let child = startNode();
	let isStopping = false;
	let disturbed: Promise<void> | undefined;

	function startNode(): ChildProcess {
		const started = spawn(
			process.execPath,
			['--max-semi-space-size=2', resolveProgram('node'), 'node'],
			{
				stdio: ['ignore', log.fd, log.fd],
				env: {...process.env, [settingsFileVariable]: file},
			},
		);
		runningChildren.add(started);
		started.once('exit', (code, signal) => {
			runningChildren.delete(started);
			if (!disturbed && !isStopping) {
				history.crashes.push(
					`crash: ${name} ended with ${String(code ?? signal)}`,
				);
			}
		});
		return started;
	}

	async function end(signal: NodeJS.Signals): Promise<void> {
		if (child.exitCode !== null || child.signalCode !== null) {
			// Its end is noted as a crash.
			return;
		}

		const exited = once(child, 'exit');
		child.kill(signal);
		const timer = setTimeout(() => {
			history.crashes.push(`slow stop: ${name} outlasted its grace time`);
			child.kill('SIGKILL');
		}, graceMs);
		await exited;
		clearTimeout(timer);
	}

	/** Runs a disturbance of the process unless there is another one. */
	async function disturb(
		kind: NodeDisturbance['kind'],
		action: () => Promise<void>,
	): Promise<void> {
		if (disturbed !== undefined || isStopping) {
			return;
		}

		const from = now();
		disturbed = action();
		await disturbed;
		disturbed = undefined;
		history.disturbances.push({host: name, kind, from, until: now() + afterMs});
	}

	return {
		name,
		callers: `${ip}:${ports.callers}`,
		upstream,
		upstreamLink,
		storeLink,
		restart: async () =>
			disturb('term', async () => {
				await end('SIGTERM');
				child = startNode();
			}),
		kill: async (awayMs) =>
			disturb('kill', async () => {
				await end('SIGKILL');
				await sleep(awayMs);
				child = startNode();
			}),
		freeze: async (durationMs) =>
			disturb('freeze', async () => {
				child.kill('SIGSTOP');
				await sleep(durationMs);
				child.kill('SIGCONT');
			}),
		async starve(durationMs) {
			const until = now() + durationMs;
			while (now() < until) {
				const stopped = child;
				stopped.kill('SIGSTOP');
				await sleep(starvedStopMs);
				stopped.kill('SIGCONT');
				await sleep(starvedRunMs);
			}
		},
		async reload() {
			// Before its runtime has started a process can't handle a signal.
			if (await catchesHangUp(child)) {
				child.kill('SIGHUP');
			}
		},
		async stop() {
			await disturbed;
			isStopping = true;
			await end('SIGTERM');
			await upstream.stop();
			upstreamLink.stop();
			storeLink.stop();
			await log.close();
			await rm(folder, {recursive: true});
		},
	};
}
