import {createDeliveryState} from '../coordination/create-delivery-state.js';
import type {
	DeliveryEffect,
	DeliveryMessage,
	DeliveryState,
} from '../coordination/delivery-state.js';
import {stepDelivery} from '../coordination/step-delivery.js';
import type {Configuration, LogEntry} from '../protocol/configuration.js';
import {deliveryTickMs} from '../protocol/constants.js';
import type {MembersView} from '../protocol/member.js';
import type {Poll, PollAnswer} from '../protocol/peer.js';
import {createConfiguration} from '../state/create-configuration.js';
import {runPlatformCall} from './_lib/run-platform-call.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';

/** Options of `startConfigurationTask`. */
export type ConfigurationTaskOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly platform: PlatformClient;
	readonly peers: PeerClients;
	readonly logger: Logger;
	/** Called with each version that the node runs from now on. */
	readonly onConfiguration: (configuration: Configuration) => void;
	/** Monotonic ms since the epoch. */
	readonly now?: () => number;
	readonly random?: () => number;
};

/** The task that keeps a node's configuration current and serves others. */
export type ConfigurationTask = {
	updateMembers(view: MembersView): void;
	/** Offers entries that this node has seen accepted. */
	addEntries(entries: readonly LogEntry[]): void;
	/** Tells that another node was heard to hold a version. */
	recordHolder(name: string, version: number): void;
	handlePoll(poll: Poll): Promise<PollAnswer>;
	/** Reads the configuration that the node runs. */
	readConfiguration(): Configuration;
	/** Reads the newest configuration that the node holds. */
	readNewestConfiguration(): Configuration;
	stop(): void;
};

/**
 * Starts the configuration task of a node: sockets and timers round
 * `stepDelivery`.
 *
 * @param options - see `ConfigurationTaskOptions`
 * @returns the running task
 * @example
 * startConfigurationTask({name, dataCentre, platform, peers, logger, onConfiguration});
 */
export function startConfigurationTask(
	options: ConfigurationTaskOptions,
): ConfigurationTask {
	const {name, dataCentre, platform, peers, logger, onConfiguration} = options;
	const {
		now = () => performance.timeOrigin + performance.now(),
		random = Math.random,
	} = options;
	let state: DeliveryState = createDeliveryState(name, dataCentre);
	let running = createConfiguration();
	let lastPollId = 0;
	const resolvers = new Map<number, (answer: PollAnswer) => void>();
	const stopping = new AbortController();

	function tell(message: DeliveryMessage): void {
		if (stopping.signal.aborted) {
			return;
		}

		const step = stepDelivery(state, message, {now: now(), random});
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect);
		}
	}

	async function pollPeer(
		effect: Extract<DeliveryEffect, {kind: 'poll'}>,
	): Promise<void> {
		const {callId, address, poll, timeoutMs, needsNewConnection} = effect;
		try {
			const value: unknown = await peers
				.getClient(address, {needsNewConnection})
				.poll.mutate(poll, {signal: AbortSignal.timeout(timeoutMs)});
			tell({kind: 'poll-answer', callId, outcome: {kind: 'answered', value}});
		} catch (error) {
			const reason = String(error);
			logger.debug('poll failed', {address, error: reason});
			tell({kind: 'poll-answer', callId, outcome: {kind: 'failed', reason}});
		}
	}

	function carryOut(effect: DeliveryEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				void runPlatformCall(platform, call).then((outcome) => {
					tell({kind: 'platform-answer', callId, outcome});
				});
				break;
			}

			case 'poll': {
				void pollPeer(effect);
				break;
			}

			case 'answer': {
				resolvers.get(effect.pollId)?.(effect.answer);
				resolvers.delete(effect.pollId);
				break;
			}

			case 'run': {
				running = effect.configuration;
				logger.debug('version running', {version: running.version});
				onConfiguration(running);
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.fields);
				break;
			}
		}
	}

	function createUnchanged(): PollAnswer {
		const {version} = running;
		return {kind: 'unchanged', name, version, safeVersion: 0, holders: []};
	}

	const timer = setInterval(() => {
		tell({kind: 'tick'});
	}, deliveryTickMs);

	return {
		updateMembers(view) {
			tell({kind: 'view', members: view.members});
		},
		addEntries(entries) {
			tell({kind: 'entries', entries});
		},
		recordHolder(name, version) {
			tell({kind: 'holder', name, version});
		},
		async handlePoll(poll) {
			if (stopping.signal.aborted) {
				return createUnchanged();
			}

			lastPollId++;
			const pollId = lastPollId;
			return new Promise((resolve) => {
				resolvers.set(pollId, resolve);
				tell({kind: 'poll', pollId, poll});
			});
		},
		readConfiguration: () => running,
		readNewestConfiguration: () => state.heldConfigurations.at(-1)!,
		stop() {
			stopping.abort();
			clearInterval(timer);
			for (const resolve of resolvers.values()) {
				resolve(createUnchanged());
			}

			resolvers.clear();
		},
	};
}
