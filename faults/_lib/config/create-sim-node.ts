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

/** Sizes small enough that the log ring wraps and trees have several levels. */
export const smallSizes = {ringSize: 8, snapshotInterval: 4, fanOut: 1};

const startTimeMs = 1_000_000;

/** Options of `createSimNode`. */
export type SimNodeOptions = {
	readonly slot: string;
	readonly name: string;
	readonly dataCentre: string;
	readonly address: string;
};

/**
 * Creates a simulated node: the product's state machines on the simulation's
 * clock. Reports each step at which a fault may be applied.
 *
 * @param simulation - the simulation
 * @param options - see `SimNodeOptions`
 * @returns the running node
 */
export function createSimNode(
	simulation: Simulation,
	options: SimNodeOptions,
): SimNode {
	const {scheduler, platform, network, variant} = simulation;
	const {name, slot, dataCentre, address} = options;
	const {random} = scheduler;
	let delivery = createDeliveryState(name, dataCentre);
	let commit = createCommitState(delivery.heldConfigurations[0]!);
	let snapshot = createSnapshotState();
	let condition: 'up' | 'frozen' | 'dead' = 'up';
	let conditionSince = 0;
	let inbox: Array<() => void> = [];
	let lastReplyId = 0;
	const replies = new Map<number, (outcome: SubmissionOutcome) => void>();
	const answers = new Map<number, (value: unknown) => void>();
	const now = () => startTimeMs + scheduler.now();

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
			simulation.reachStep(step, node, action);
		} else {
			receive(action);
		}
	}

	function dispatchCommit(message: CommitMessage): void {
		const result = stepCommit(commit, message, {
			now: now(),
			random,
			...smallSizes,
		});
		commit = result.state;
		for (const effect of result.effects) {
			runCommitEffect(effect);
		}
	}

	function dispatchSnapshot(message: SnapshotMessage): void {
		const result = stepSnapshot(snapshot, message);
		snapshot = result.state;
		for (const effect of result.effects) {
			if (effect.kind === 'stored') {
				dispatchCommit({kind: 'snapshot-stored', version: effect.version});
				continue;
			}

			const {callId, call} = effect;
			callPlatform(call, findStep('snapshot', call), (outcome) => {
				dispatchSnapshot({kind: 'answer', callId, outcome});
			});
		}
	}

	function runCommitEffect(effect: CommitEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				const isReadBack = commit.phase.kind === 'reading-back';
				const step = isReadBack ? 'read-back' : findStep('commit', call);
				callPlatform(call, step, (outcome) => {
					dispatchCommit({kind: 'answer', callId, outcome});
				});
				break;
			}

			case 'wait': {
				scheduler.schedule(effect.delayMs, () => {
					receive(() => {
						dispatchCommit({kind: 'timer', callId: effect.callId});
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
				dispatchDelivery({kind: 'entries', entries: effect.entries});
				break;
			}

			case 'store-snapshot': {
				dispatchSnapshot({kind: 'store', configuration: effect.configuration});
				break;
			}
		}
	}

	function dispatchDelivery(message: DeliveryMessage): void {
		const result = stepDelivery(delivery, message, {
			now: now(),
			random,
			rules: {...smallSizes, ...variant.delivery},
		});
		delivery = result.state;
		for (const effect of result.effects) {
			runDeliveryEffect(effect);
		}
	}

	function runAtStep(step: Step | undefined, action: () => void): void {
		if (step) {
			simulation.reachStep(step, node, action);
		} else {
			action();
		}
	}

	function startPoll(effect: Extract<DeliveryEffect, {kind: 'poll'}>): void {
		const {callId, poll, timeoutMs} = effect;
		const target = simulation.nodesByAddress.get(effect.address)!;
		scheduler.schedule(timeoutMs, () => {
			network.dropConnection(node, target);
			receive(() => {
				const outcome = {kind: 'failed', reason: 'timeout'} as const;
				dispatchDelivery({kind: 'poll-answer', callId, outcome});
			});
		});
		if (effect.needsNewConnection) {
			network.dropConnection(node, target);
		}

		network.request(node, target, () => {
			target.handlePoll(poll, (value) => {
				network.send(target, node, () => {
					// The state machine validates the value; this only selects the step.
					// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
					const hasChanges = (value as PollAnswer).kind !== 'unchanged';
					runAtStep(hasChanges ? 'apply' : undefined, () => {
						dispatchDelivery({
							kind: 'poll-answer',
							callId,
							outcome: {kind: 'answered', value},
						});
					});
				});
			});
		});
	}

	function runDeliveryEffect(effect: DeliveryEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				callPlatform(call, findStep('delivery', call), (outcome) => {
					const hasChanges =
						outcome.kind === 'items' && outcome.items.length > 0;
					runAtStep(hasChanges ? 'apply' : undefined, () => {
						dispatchDelivery({kind: 'platform-answer', callId, outcome});
					});
				});
				break;
			}

			case 'poll': {
				const isReport = effect.poll.waitMs === 0;
				simulation.reachStep(isReport ? 'report' : 'child-poll', node, () => {
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
				simulation.reachStep('swap', node, () => {
					const {version, digest} = effect.configuration;
					const runs = simulation.activations.get(slot) ?? [];
					simulation.activations.set(slot, [...runs, {version, digest}]);
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
			dispatchDelivery({kind: 'tick'});
		}

		scheduler.schedule(deliveryTickMs, tick);
	}

	function setCondition(next: 'up' | 'frozen' | 'dead'): void {
		condition = next;
		conditionSince = scheduler.now();
	}

	const node: SimNode = {
		name,
		slot,
		dataCentre,
		address,
		receive,
		readState: () => condition,
		readStateSince: () => conditionSince,
		readRunningVersion: () => delivery.runningVersion,
		submit(submission, answer) {
			lastReplyId++;
			replies.set(lastReplyId, answer);
			const pending = {...submission, replyId: lastReplyId};
			simulation.reachStep('submit', node, () => {
				const configuration = delivery.heldConfigurations.at(-1)!;
				dispatchCommit({kind: 'configuration', configuration});
				dispatchCommit({kind: 'submit', pending});
			});
		},
		handlePoll(value, answer) {
			const poll = pollSchema.parse(value);
			lastReplyId++;
			answers.set(lastReplyId, answer);
			dispatchDelivery({kind: 'poll', pollId: lastReplyId, poll});
		},
		updateMembers(members) {
			receive(() => {
				dispatchDelivery({
					kind: 'view',
					members: members.map((member) =>
						describeMember(member, scheduler.now()),
					),
				});
			});
		},
		kill() {
			inbox = [];
			setCondition('dead');
		},
		freeze() {
			if (condition === 'up') {
				setCondition('frozen');
			}
		},
		resume() {
			if (condition !== 'frozen') {
				return;
			}

			setCondition('up');
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
