import {ObjectStore} from '../fakes/object-store.js';
import {createDeliveryState} from '../src/coordination/create-delivery-state.js';
import type {
	DeliveryEffect,
	DeliveryMessage,
} from '../src/coordination/delivery-state.js';
import {stepDelivery} from '../src/coordination/step-delivery.js';
import type {Configuration, LogEntry} from '../src/protocol/configuration.js';
import {deliveryTickMs} from '../src/protocol/constants.js';
import type {Member} from '../src/protocol/member.js';
import type {PollAnswer} from '../src/protocol/peer.js';
import type {PlatformCall, PlatformOutcome} from '../src/protocol/platform.js';
import {formatLogKey} from '../src/state/format-log-key.js';
import {createScheduler, type Scheduler} from './create-scheduler.js';

/** Options of `runDelivery`. */
export type DeliveryRunOptions = {
	readonly seed: number;
	readonly entries: readonly LogEntry[];
	/** Names of the nodes by data centre. */
	readonly dataCentres: Readonly<Record<string, readonly string[]>>;
	/** Time between two entries, ms. */
	readonly intervalMs: number;
};

type Node = {
	readonly member: Member;
	readonly history: Configuration[];
	tell(message: DeliveryMessage): void;
	poll(
		effect: Extract<DeliveryEffect, {kind: 'poll'}>['poll'],
		answer: (value: PollAnswer) => void,
	): void;
};

const maxDelayMs = 40;
const startMs = 5000;
const settleMs = 15_000;

function createMembers(options: DeliveryRunOptions): readonly Member[] {
	return Object.entries(options.dataCentres).flatMap(([dataCentre, names]) =>
		names.map((name) => ({
			name,
			dataCentre,
			address: name,
			incarnation: 1,
			sequence: 0,
			state: 'alive' as const,
			upstreams: [],
		})),
	);
}

function callStore(
	store: ObjectStore,
	scheduler: Scheduler,
	call: PlatformCall,
	answer: (outcome: PlatformOutcome) => void,
): void {
	switch (call.kind) {
		case 'read': {
			const object = store.get(call.key);
			answer(object ? {kind: 'found', object} : {kind: 'absent'});
			break;
		}

		case 'write': {
			const {condition, key, value} = call;
			const expected = condition.kind === 'version' ? condition.version : 0;
			const {done, version} = store.write(key, expected, value);
			answer(done ? {kind: 'written', version} : {kind: 'conflict'});
			break;
		}

		case 'delete': {
			const {done, version} = store.remove(call.key, call.version);
			answer(done ? {kind: 'written', version} : {kind: 'conflict'});
			break;
		}

		case 'list': {
			const page = store.list(call.prefix, call.after, call.limit);
			answer({kind: 'items', ...page});
			break;
		}

		case 'watch': {
			watchStore(store, scheduler, call, answer);
			break;
		}
	}
}

function watchStore(
	store: ObjectStore,
	scheduler: Scheduler,
	call: Extract<PlatformCall, {kind: 'watch'}>,
	answer: (outcome: PlatformOutcome) => void,
): void {
	const readItems = () => store.readChanges(call.prefix, call.after) ?? [];
	const finish = () => {
		stop();
		cancel();
		answer({
			kind: 'items',
			items: readItems(),
			revision: store.revision,
			more: false,
		});
	};

	const cancel = scheduler.schedule(call.waitMs, finish);
	const stop = store.subscribe(({key}) => {
		if (key.startsWith(call.prefix)) {
			finish();
		}
	});
	if (readItems().length > 0) {
		finish();
	}
}

/**
 * Runs delivery machines in virtual time without faults: calls and answers
 * take random times, so that they cross; the log grows entry by entry.
 *
 * @param options - see `DeliveryRunOptions`
 * @returns the configurations that each node ran, in order, by node
 * @example
 * runDelivery({seed: 1, entries, dataCentres: {abdali: ['a']}, intervalMs: 50});
 */
export function runDelivery(
	options: DeliveryRunOptions,
): ReadonlyMap<string, readonly Configuration[]> {
	const scheduler = createScheduler(options.seed);
	const store = new ObjectStore();
	const members = createMembers(options);
	const nodes = new Map<string, Node>();

	function send(action: () => void): void {
		scheduler.schedule(scheduler.random() * maxDelayMs, action);
	}

	function createNode(member: Member): Node {
		const history: Configuration[] = [];
		const answers = new Map<number, (value: PollAnswer) => void>();
		let state = createDeliveryState(member.name, member.dataCentre);
		let lastPollId = 0;

		function tell(message: DeliveryMessage): void {
			const {now, random} = scheduler;
			const step = stepDelivery(state, message, {now: now(), random});
			state = step.state;
			for (const effect of step.effects) {
				carryOut(effect);
			}
		}

		function carryOut(effect: DeliveryEffect): void {
			switch (effect.kind) {
				case 'call': {
					const {callId, call} = effect;
					send(() => {
						callStore(store, scheduler, call, (outcome) => {
							send(() => {
								tell({kind: 'platform-answer', callId, outcome});
							});
						});
					});
					break;
				}

				case 'poll': {
					const {callId, address, poll} = effect;
					send(() => {
						nodes.get(address)!.poll(poll, (value) => {
							const outcome = {kind: 'answered', value} as const;
							send(() => {
								tell({kind: 'poll-answer', callId, outcome});
							});
						});
					});
					break;
				}

				case 'answer': {
					answers.get(effect.pollId)?.(effect.answer);
					answers.delete(effect.pollId);
					break;
				}

				case 'run': {
					history.push(effect.configuration);
					break;
				}

				case 'log': {
					break;
				}
			}
		}

		return {
			member,
			history,
			tell,
			poll(poll, answer) {
				lastPollId++;
				answers.set(lastPollId, answer);
				tell({kind: 'poll', pollId: lastPollId, poll});
			},
		};
	}

	function tick(node: Node): void {
		node.tell({kind: 'tick'});
		scheduler.schedule(deliveryTickMs, () => {
			tick(node);
		});
	}

	for (const member of members) {
		nodes.set(member.name, createNode(member));
	}

	for (const node of nodes.values()) {
		send(() => {
			node.tell({kind: 'view', members});
			tick(node);
		});
	}

	for (const [index, entry] of options.entries.entries()) {
		scheduler.schedule(startMs + index * options.intervalMs, () => {
			store.write(formatLogKey(entry.version), 0, entry);
		});
	}

	const {length} = options.entries;
	scheduler.runUntil(startMs + length * options.intervalMs + settleMs);
	return new Map([...nodes].map(([name, {history}]) => [name, history]));
}
