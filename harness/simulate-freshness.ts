import {createDocumentState} from '../src/coordination/create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
} from '../src/coordination/document-state.js';
import {computeProofAge} from '../src/coordination/freshness/compute-proof-age.js';
import {
	stepElapsedClock,
	type ElapsedClock,
} from '../src/coordination/freshness/step-elapsed-clock.js';
import {stepDocument} from '../src/coordination/step-document.js';
import type {DocumentAnswer} from '../src/protocol/routing-document.js';
import {createVersionStore} from './_lib/version-store.js';
import {createSampleMember} from './create-sample-member.js';
import {createScheduler} from './create-scheduler.js';

/** Likelihood of each fault, 0 to 1. */
export type FreshnessFaults = {
	/** A message is lost. */
	readonly lost: number;
	/** A message takes up to 2.5 s. */
	readonly slow: number;
	/** Each half second, a node is cut off from the store. */
	readonly cut: number;
	/** Each half second, a node is suspended; half as often, it starts again or its wall clock is stepped. */
	readonly stop: number;
	/** The only node that the store answers; all when absent. */
	readonly served?: string;
};

const revocation = {maxDelayMs: 5000};
const leaseMs = 4400;
/** Time until each node has found a source of proofs, ms. */
const startMs = 8000;
/** Error of times as floating-point numbers, ms. */
const roundingMs = 1e-3;

const members = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) =>
	createSampleMember({
		name,
		address: name,
		dataCentre: name < 'e' ? 'abdali' : 'marka',
	}),
);

/**
 * Simulates nodes that run `stepDocument`, and a store whose versions are written
 * at known times.
 *
 * @param seed - seed of the random numbers
 * @param faults - likelihood of each fault
 * @param endMs - time to simulate, ms
 * @returns the numbers of checks, of checks with a valid lease, of checks at
 *   which a version was missing that was written before the proof, and of calls
 *   to the store; and the highest age of a proof after the start, ms
 * @example
 * simulateFreshness(1, {lost: 0, slow: 0, cut: 0, stop: 0}, 60_000).violations; // 0
 */
export function simulateFreshness(
	seed: number,
	faults: FreshnessFaults,
	endMs: number,
) {
	const {now, random, schedule, runUntil} = createScheduler(seed);
	const result = {checks: 0, valid: 0, violations: 0, calls: 0, maxAgeMs: 0};
	const store = createVersionStore(now, schedule);

	/** Delivers after a random transit time, or never. */
	function transmit(action: () => void): void {
		if (random() >= faults.lost) {
			const slowMs = random() < faults.slow ? 2500 : 0;
			schedule(1 + random() * (20 + slowMs), action);
		}
	}

	function createNode(name: string) {
		let state = createDocumentState(name, revocation);
		let clock: ElapsedClock | undefined;
		/** Number of starts; messages to an earlier process are lost. */
		let life = 0;
		let suspendedMs = 0;
		let suspendedUntil = 0;
		let wallOffsetMs = 0;
		let cutUntil = (faults.served ?? name) === name ? 0 : endMs;
		let lastPollId = 0;
		const resolvers = new Map<number, (answer: DocumentAnswer) => void>();

		function readElapsed(): number {
			const monotonicMs = now() - suspendedMs;
			const wallMs = now() + wallOffsetMs;
			clock = stepElapsedClock(clock, {monotonicMs, wallMs});
			return monotonicMs + clock.aheadMs;
		}

		/** Handles a message once the node is no longer suspended. */
		function send(message: DocumentMessage, ownLife = life): void {
			if (now() < suspendedUntil) {
				schedule(suspendedUntil - now(), () => {
					send(message, ownLife);
				});
			} else if (ownLife === life) {
				const at = now() - suspendedMs;
				const step = stepDocument(state, message, at, readElapsed());
				state = step.state;
				for (const effect of step.effects) {
					carryOut(effect, ownLife);
				}
			}
		}

		function carryOut(effect: DocumentEffect, ownLife: number): void {
			if (effect.kind === 'poll') {
				const {callId, poll, address} = effect;
				transmit(() => {
					nodes.get(address)?.handlePoll(poll, (answer) => {
						const outcome = {kind: 'answered', answer} as const;
						transmit(() => {
							send({kind: 'polled', callId, outcome}, ownLife);
						});
					});
				});
			}

			if (effect.kind === 'answer') {
				resolvers.get(effect.pollId)?.(effect.answer);
			}

			if ('timeoutMs' in effect && effect.kind !== 'poll') {
				const {callId} = effect;
				result.calls++;
				if (now() >= cutUntil) {
					transmit(() => {
						store.call(effect, (outcome) => {
							transmit(() => {
								send({kind: 'stored', callId, outcome}, ownLife);
							});
						});
					});
				}
			}
		}

		return {
			send,
			handlePoll(
				poll: (DocumentMessage & {readonly kind: 'poll'})['poll'],
				answer: (answer: DocumentAnswer) => void,
			) {
				lastPollId++;
				resolvers.set(lastPollId, answer);
				send({kind: 'poll', pollId: lastPollId, poll});
			},
			/** Counts whether a version is missing that was written before the proof. */
			check() {
				if (now() >= suspendedUntil) {
					const ageMs = computeProofAge(state.freshness, readElapsed());
					const next = store.writtenAt[state.document?.version ?? 0] ?? endMs;
					result.checks++;
					result.valid += Number(ageMs <= leaseMs);
					result.violations += Number(next < now() - ageMs - roundingMs);
					result.maxAgeMs = Math.max(
						result.maxAgeMs,
						now() < startMs ? 0 : ageMs,
					);
				}
			},
			/** Suspends the node, starts it again, steps its wall clock or cuts it off from the store. */
			disturb() {
				const draw = random();
				const durationMs = 100 + random() * 6000;
				if (now() < suspendedUntil) {
					return;
				}

				readElapsed();
				if (draw < faults.stop) {
					suspendedUntil = now() + durationMs;
					suspendedMs += durationMs;
				} else if (draw < faults.stop * 1.5) {
					life++;
					state = createDocumentState(name, revocation);
					clock = undefined;
					send({kind: 'view', members});
				} else if (draw < faults.stop * 2) {
					wallOffsetMs += durationMs - 3000;
				} else if (draw < faults.stop * 2 + faults.cut) {
					cutUntil = now() + 3 * durationMs;
				}
			},
		};
	}

	const nodes = new Map(members.map(({name}) => [name, createNode(name)]));

	function repeat(periodMs: number, action: () => void): void {
		schedule(periodMs * 2 * random(), () => {
			action();
			repeat(periodMs, action);
		});
	}

	for (const node of nodes.values()) {
		node.send({kind: 'view', members});
		repeat(50, () => {
			node.send({kind: 'tick'});
		});
		repeat(40, node.check);
		repeat(500, node.disturb);
	}

	repeat(1500, store.write);
	runUntil(endMs);
	return result;
}
