import {createHash} from 'node:crypto';
import {childExpiryMs, maxNamesPerReport} from '../../../protocol/constants.js';
import type {Progress} from '../../../protocol/peer.js';
import type {DeliveryState} from '../../delivery-state.js';

const hashDigits = 10;
const nameSumModulus = 2 ** 48;

/**
 * Adds up hashes of names, so that two sets of members can be compared.
 *
 * @param sums - sums or hashes to add
 * @returns the sum, below 2^48
 */
export function addNameSums(sums: readonly number[]): number {
	let total = 0;
	for (const sum of sums) {
		total = (total + sum) % nameSumModulus;
	}

	return total;
}

/**
 * Computes the hash of a member's name.
 *
 * @param name - name of the member
 * @returns a number below 2^40
 */
export function computeNameHash(name: string): number {
	const digest = createHash('sha256').update(name).digest('hex');
	return Number.parseInt(digest.slice(0, hashDigits), 16);
}

/**
 * Drops the reports of children that have not polled lately.
 *
 * @param state - the state before
 * @param now - monotonic ms
 * @returns the state without reports that are out of date
 */
export function expireChildren(
	state: DeliveryState,
	now: number,
): DeliveryState {
	const waiting = new Set(state.polls.map(({poll}) => poll.name));
	const children = [...state.children].filter(
		([name, {receivedAt}]) =>
			waiting.has(name) || now - receivedAt < childExpiryMs,
	);
	return children.length === state.children.size
		? state
		: {...state, children: new Map(children)};
}

/**
 * Computes the progress of a node and of those below it.
 *
 * @param state - the node's state
 * @returns its progress
 */
export function computeProgress(state: DeliveryState): Progress {
	const own: Progress = {
		version: state.runningVersion ?? 0,
		members: 1,
		nameSum: computeNameHash(state.name),
		laggards: [state.name],
		refusals: state.refusal ? [state.refusal] : [],
	};
	const parts = [
		own,
		...[...state.children.values()].map(({progress}) => progress),
	];
	const version = Math.min(...parts.map((part) => part.version));
	let members = 0;
	for (const part of parts) {
		members += part.members;
	}

	return {
		version,
		members,
		nameSum: addNameSums(parts.map(({nameSum}) => nameSum)),
		laggards: parts
			.filter((part) => part.version === version)
			.flatMap(({laggards}) => laggards)
			.slice(0, maxNamesPerReport),
		refusals: parts
			.flatMap(({refusals}) => refusals)
			.slice(0, maxNamesPerReport),
	};
}
