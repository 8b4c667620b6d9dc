import {computeBackoff} from '../coordination/compute-backoff.js';
import {
	computePosition,
	type Position,
} from '../coordination/compute-position.js';
import {
	type Configuration,
	type LogEntry,
	logEntrySchema,
} from '../protocol/configuration.js';
import {
	logEntriesPerPoll,
	pollTimeoutMs,
	pollWaitMs,
	statusIntervalMs,
	watchWaitMs,
} from '../protocol/constants.js';
import type {MembersView} from '../protocol/member.js';
import {
	pollAnswerSchema,
	type Poll,
	type PollAnswer,
	type Progress,
} from '../protocol/peer.js';
import {applyEntry} from '../state/apply-entry.js';
import {createConfiguration} from '../state/create-configuration.js';
import {waitMs} from './_lib/wait-ms.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PlatformClient} from './create-platform-client.js';
import {formatLogKey, logPrefix} from './_lib/format-log-key.js';

/** Options of `startConfigurationTask`. */
export type ConfigurationTaskOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly platform: PlatformClient;
	readonly peers: PeerClients;
	readonly logger: Logger;
	/** Called with each version that the node runs from now on. */
	readonly onConfiguration: (configuration: Configuration) => void;
	readonly random?: () => number;
};

/** The task that keeps a node's configuration current and serves children. */
export type ConfigurationTask = {
	tellView(view: MembersView): void;
	/** Offers entries that this node has seen accepted. */
	tellEntries(entries: readonly LogEntry[]): void;
	handlePoll(poll: Poll): Promise<PollAnswer>;
	readConfiguration(): Configuration;
	stop(): void;
};

type ChildReport = {readonly progress: Progress; readonly at: number};

/**
 * Starts the configuration task of a node.
 *
 * @param options - see `ConfigurationTaskOptions`
 * @returns the running task
 * @example
 * startConfigurationTask({name, dataCentre, platform, peers, logger, onConfiguration});
 */
export function startConfigurationTask(
	options: ConfigurationTaskOptions,
): ConfigurationTask {
	const {name, platform, peers, logger, onConfiguration} = options;
	const {random = Math.random} = options;
	let configuration = createConfiguration();
	let entries: readonly LogEntry[] = [];
	let position: Position | undefined;
	let revision = 0;
	let isLoaded = false;
	let failures = 0;
	let reported = '';
	const children = new Map<string, ChildReport>();
	const waiters = new Set<() => void>();
	const stopping = new AbortController();

	function applyEntries(received: readonly LogEntry[]): boolean {
		const before = configuration;
		for (const entry of received) {
			if (entry.version <= configuration.version) {
				continue;
			}

			const result = applyEntry(configuration, entry);
			if (result.isErr()) {
				logger.error('entry refused', {
					version: entry.version,
					problem: result.error,
				});
				break;
			}

			configuration = result.value;
			entries = [...entries, entry].slice(-4 * logEntriesPerPoll);
		}

		if (configuration === before) {
			return false;
		}

		onConfiguration(configuration);
		for (const wake of waiters) {
			wake();
		}

		return true;
	}

	function computeProgress(): Progress {
		const oldest = performance.now() - 2 * pollTimeoutMs;
		let {version} = configuration;
		let members = 1;
		for (const [child, report] of children) {
			if (report.at < oldest) {
				children.delete(child);
				continue;
			}

			version = Math.min(version, report.progress.version);
			members += report.progress.members;
		}

		return {version, members};
	}

	function parseEntries(items: ReadonlyArray<{value: unknown}>): LogEntry[] {
		return items.flatMap(({value}) => {
			const parsed = logEntrySchema.safeParse(value);
			return parsed.success ? [parsed.data] : [];
		});
	}

	async function loadFromPlatform(): Promise<boolean> {
		const after = formatLogKey(configuration.version);
		const outcome = await platform.listObjects(logPrefix, after);
		if (outcome.kind !== 'items') {
			return false;
		}

		applyEntries(parseEntries(outcome.items));
		if (!outcome.more) {
			revision = outcome.revision;
			isLoaded = true;
		}

		return true;
	}

	async function watchPlatform(): Promise<boolean> {
		if (!isLoaded) {
			return loadFromPlatform();
		}

		const outcome = await platform.watchObjects(
			logPrefix,
			revision,
			watchWaitMs,
		);
		if (outcome.kind === 'items') {
			applyEntries(parseEntries(outcome.items));
			revision = outcome.revision;
			return true;
		}

		isLoaded = false;
		return false;
	}

	async function pollPeer(address: string, wait: number): Promise<boolean> {
		const poll: Poll = {
			name,
			haveVersion: configuration.version,
			haveDigest: configuration.digest,
			progress: computeProgress(),
			waitMs: wait,
		};
		try {
			const answer = pollAnswerSchema.parse(
				await peers.getClient(address).poll.mutate(poll, {
					signal: AbortSignal.timeout(wait + pollTimeoutMs - pollWaitMs),
				}),
			);
			if (answer.kind === 'entries') {
				applyEntries(answer.entries);
			} else if (
				answer.kind === 'snapshot' &&
				answer.configuration.version > configuration.version
			) {
				configuration = answer.configuration;
				onConfiguration(configuration);
			}

			return true;
		} catch (error) {
			logger.debug('poll failed', {address, error: String(error)});
			return false;
		}
	}

	async function runOnce(): Promise<boolean> {
		if (!position || position.kind === 'root') {
			return watchPlatform();
		}

		const parent = position.parents[failures % position.parents.length]!;
		return pollPeer(parent.address, pollWaitMs);
	}

	async function runLoop(): Promise<void> {
		while (!stopping.signal.aborted) {
			const isDone = await runOnce();
			failures = isDone ? 0 : failures + 1;
			if (!isDone) {
				await waitMs(computeBackoff(failures, random()), stopping.signal);
			}
		}
	}

	async function reportProgress(): Promise<void> {
		if (position?.kind !== 'root') {
			return;
		}

		if (position.rank > 0) {
			await pollPeer(position.first.address, 0);
			return;
		}

		const progress = computeProgress();
		const text = JSON.stringify(progress);
		if (text === reported) {
			return;
		}

		const key = `status/${options.dataCentre}`;
		const current = await platform.readObject(key);
		if (current.kind === 'unavailable') {
			return;
		}

		const status = {
			dataCentre: options.dataCentre,
			...progress,
			writtenAtMs: Date.now(),
			writer: name,
		};
		const outcome = await platform.writeObject(
			key,
			status,
			current.kind === 'found'
				? {kind: 'version', version: current.object.version}
				: {kind: 'absent'},
		);
		reported = outcome.kind === 'written' ? text : '';
	}

	const statusTimer = setInterval(() => {
		void reportProgress();
	}, statusIntervalMs);
	void runLoop();

	return {
		tellView(view) {
			position = computePosition(view.members, view.self);
		},
		tellEntries(entries) {
			applyEntries(entries);
		},
		async handlePoll(poll) {
			children.set(poll.name, {progress: poll.progress, at: performance.now()});
			if (poll.haveVersion >= configuration.version && poll.waitMs > 0) {
				await new Promise<void>((resolve) => {
					const timer = setTimeout(finish, poll.waitMs);
					function finish(): void {
						clearTimeout(timer);
						waiters.delete(finish);
						resolve();
					}

					waiters.add(finish);
				});
			}

			if (poll.haveVersion >= configuration.version) {
				return {kind: 'unchanged'};
			}

			const missing = entries.filter(({version}) => version > poll.haveVersion);
			if (missing[0]?.version === poll.haveVersion + 1) {
				return {kind: 'entries', entries: missing.slice(0, logEntriesPerPoll)};
			}

			return {kind: 'snapshot', configuration};
		},
		readConfiguration: () => configuration,
		stop() {
			stopping.abort();
			clearInterval(statusTimer);
			for (const wake of waiters) {
				wake();
			}
		},
	};
}
