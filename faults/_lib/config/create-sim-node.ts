import type {
	CommitEffect,
	CommitMessage,
} from '../../../src/coordination/commit-state.js';
import {createCommitState} from '../../../src/coordination/create-commit-state.js';
import {createDeliveryState} from '../../../src/coordination/create-delivery-state.js';
import {createSnapshotState} from '../../../src/coordination/create-snapshot-state.js';
import type {
	DeliveryEffect,
	DeliveryMessage,
} from '../../../src/coordination/delivery-state.js';
import type {SnapshotMessage} from '../../../src/coordination/snapshot-state.js';
import {stepCommit} from '../../../src/coordination/step-commit.js';
import {stepDelivery} from '../../../src/coordination/step-delivery.js';
import {stepSnapshot} from '../../../src/coordination/step-snapshot.js';
import type {SubmissionOutcome} from '../../../src/protocol/configuration.js';
import {deliveryTickMs} from '../../../src/protocol/constants.js';
import {pollSchema, type PollAnswer} from '../../../src/protocol/peer.js';
import type {
	PlatformCall,
	PlatformOutcome,
} from '../../../src/protocol/platform.js';
import type {SimNode, Step, Simulation} from './config-simulation.js';
import {describeMember} from './describe-member.js';
import {findStep} from './find-step.js';

/** Sizes that make rings wrap and trees have depth in a small world. */
export const smallSizes = {ringSize: 8, snapshotInterval: 4, fanOut: 1};

const startTime = 1_000_000;

/** What a node is made of. */
export type SimNodeOptions = {
	readonly slot: string;
	readonly name: string;
	readonly dataCentre: string;
	readonly address: string;
};

/**
 * Creates a node of the world: the product's machines, driven by the world's
 * clock, with a step marked wherever a fault may occur.
 *
 * @param world - the world
 * @param options - see `SimNodeOptions`
 * @returns the node, running
 */
export function createSimNode(
	world: Simulation,
	options: SimNodeOptions,
): SimNode {
	const {scheduler, platform, network, variant} = world;
	const {name, slot, dataCentre, address} = options;
	const {random} = scheduler;
	let delivery = createDeliveryState(name, dataCentre);
	let commit = createCommitState(delivery.heldConfigurations[0]!);
	let snapshot = createSnapshotState();
	let condition: 'up' | 'frozen' | 'dead' = 'up';
	let since = 0;
	let inbox: Array<() => void> = [];
	let lastNumber = 0;
	const replies = new Map<number, (outcome: SubmissionOutcome) => void>();
	const answers = new Map<number, (value: unknown) => void>();
	const now = () => startTime + scheduler.now();

	function receive(action: () => void): void {
		if (condition === 'up') {
			action();
		} else if (condition === 'frozen') {
			inbox.push(action);
		}
	}

	function callPlatform(
		call: PlatformCall,
		step: Step | undefined,
		answer: (outcome: PlatformOutcome) => void,
	): void {
		const action = (): void => {
			platform.call(dataCentre, call, (outcome) => {
				receive(() => {
					answer(variant.changeOutcome?.(call, outcome) ?? outcome);
				});
			});
		};

		if (step) {
			world.reachStep(step, node, action);
		} else {
			receive(action);
		}
	}

	function tellCommit(message: CommitMessage): void {
		const result = stepCommit(commit, message, {
			now: now(),
			random,
			...smallSizes,
		});
		commit = result.state;
		for (const effect of result.effects) {
			carryOutCommit(effect);
		}
	}

	function tellSnapshot(message: SnapshotMessage): void {
		const result = stepSnapshot(snapshot, message);
		snapshot = result.state;
		for (const effect of result.effects) {
			if (effect.kind === 'stored') {
				tellCommit({kind: 'snapshot-stored', version: effect.version});
				continue;
			}

			const {callId, call} = effect;
			callPlatform(call, findStep('snapshot', call), (outcome) => {
				tellSnapshot({kind: 'answer', callId, outcome});
			});
		}
	}

	function carryOutCommit(effect: CommitEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				const isReadBack = commit.phase.kind === 'reading-back';
				const step = isReadBack ? 'read-back' : findStep('commit', call);
				callPlatform(call, step, (outcome) => {
					tellCommit({kind: 'answer', callId, outcome});
				});
				break;
			}

			case 'wait': {
				scheduler.schedule(effect.delayMs, () => {
					receive(() => {
						tellCommit({kind: 'timer', callId: effect.callId});
					});
				});
				break;
			}

			case 'reply': {
				receive(() => {
					replies.get(effect.replyId)?.(effect.outcome);
				});
				break;
			}

			case 'entries': {
				tellDelivery({kind: 'entries', entries: effect.entries});
				break;
			}

			case 'store-snapshot': {
				tellSnapshot({kind: 'store', configuration: effect.configuration});
				break;
			}
		}
	}

	function tellDelivery(message: DeliveryMessage): void {
		const result = stepDelivery(delivery, message, {
			now: now(),
			random,
			rules: {...smallSizes, ...variant.delivery},
		});
		delivery = result.state;
		for (const effect of result.effects) {
			carryOutDelivery(effect);
		}
	}

	function takeNews(step: Step | undefined, action: () => void): void {
		if (step) {
			world.reachStep(step, node, action);
		} else {
			action();
		}
	}

	function startPoll(effect: Extract<DeliveryEffect, {kind: 'poll'}>): void {
		const {callId, poll, timeoutMs} = effect;
		const target = world.nodesByAddress.get(effect.address)!;
		scheduler.schedule(timeoutMs, () => {
			network.dropConnection(node, target);
			receive(() => {
				const outcome = {kind: 'failed', reason: 'timeout'} as const;
				tellDelivery({kind: 'poll-answer', callId, outcome});
			});
		});
		if (effect.needsNewConnection) {
			network.dropConnection(node, target);
		}

		network.request(node, target, () => {
			target.handlePoll(poll, (value) => {
				network.send(target, node, () => {
					// The value is checked by the machine; here it only tells the step.
					// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
					const isNews = (value as PollAnswer).kind !== 'unchanged';
					takeNews(isNews ? 'apply' : undefined, () => {
						tellDelivery({
							kind: 'poll-answer',
							callId,
							outcome: {kind: 'answered', value},
						});
					});
				});
			});
		});
	}

	function carryOutDelivery(effect: DeliveryEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				callPlatform(call, findStep('delivery', call), (outcome) => {
					const isNews = outcome.kind === 'items' && outcome.items.length > 0;
					takeNews(isNews ? 'apply' : undefined, () => {
						tellDelivery({kind: 'platform-answer', callId, outcome});
					});
				});
				break;
			}

			case 'poll': {
				const isReport = effect.poll.waitMs === 0;
				world.reachStep(isReport ? 'report' : 'child-poll', node, () => {
					startPoll(effect);
				});
				break;
			}

			case 'answer': {
				receive(() => {
					answers.get(effect.pollId)?.(effect.answer);
					answers.delete(effect.pollId);
				});
				break;
			}

			case 'run': {
				world.reachStep('swap', node, () => {
					const {version, digest} = effect.configuration;
					const runs = world.activations.get(slot) ?? [];
					world.activations.set(slot, [...runs, {version, digest}]);
				});
				break;
			}

			case 'log': {
				break;
			}
		}
	}

	function tick(): void {
		if (condition === 'dead') {
			return;
		}

		if (condition === 'up') {
			tellDelivery({kind: 'tick'});
		}

		scheduler.schedule(deliveryTickMs, tick);
	}

	function change(next: 'up' | 'frozen' | 'dead'): void {
		condition = next;
		since = scheduler.now();
	}

	const node: SimNode = {
		name,
		slot,
		dataCentre,
		address,
		receive,
		readState: () => condition,
		readStateSince: () => since,
		readRunningVersion: () => delivery.runningVersion,
		submit(submission, answer) {
			lastNumber++;
			replies.set(lastNumber, answer);
			const pending = {...submission, replyId: lastNumber};
			world.reachStep('submit', node, () => {
				const configuration = delivery.heldConfigurations.at(-1)!;
				tellCommit({kind: 'configuration', configuration});
				tellCommit({kind: 'submit', pending});
			});
		},
		handlePoll(value, answer) {
			const poll = pollSchema.parse(value);
			lastNumber++;
			answers.set(lastNumber, answer);
			tellDelivery({kind: 'poll', pollId: lastNumber, poll});
		},
		updateMembers(members) {
			receive(() => {
				tellDelivery({
					kind: 'view',
					members: members.map((member) =>
						describeMember(member, scheduler.now()),
					),
				});
			});
		},
		kill() {
			inbox = [];
			change('dead');
		},
		freeze() {
			if (condition === 'up') {
				change('frozen');
			}
		},
		resume() {
			if (condition !== 'frozen') {
				return;
			}

			change('up');
			const waiting = inbox;
			inbox = [];
			for (const action of waiting) {
				receive(action);
			}
		},
	};
	scheduler.schedule(random() * deliveryTickMs, tick);
	return node;
}
