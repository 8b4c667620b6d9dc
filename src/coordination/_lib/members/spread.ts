/**
 * Helpers that spread changes without waiting for the next period.
 */
import {
	maxSpreadRecordsPerSecond,
	msPerSecond,
	spreadFanOut,
} from '../../../protocol/constants.js';
import type {
	MembersState,
	MembersStep,
	RateState,
} from '../../members-state.js';
import {relayChanges} from './bridges.js';
import {listNeighbours} from './probe.js';
import {changeSelf} from './records.js';
import {describeSender, encodeRecords, pickSome, sendRequest} from './send.js';

/**
 * Takes the fresh changes that are sent at once: the own one always, others up
 * to a number a second. The rest goes with probes, so that a herd's return
 * does not become a storm.
 */
function takeSpread(
	state: MembersState,
	now: number,
): {readonly rates: RateState; readonly names: readonly string[]} {
	const {self, fresh, rates} = state;
	const isNewWindow = now - rates.spreadWindowAt >= msPerSecond;
	const spread = isNewWindow ? 0 : rates.spreadRecords;
	const own = [self.name].filter((name) => fresh.has(name));
	const others = [...fresh]
		.filter((name) => name !== self.name)
		.slice(0, Math.max(0, maxSpreadRecordsPerSecond - spread));
	return {
		names: [...own, ...others],
		rates: {
			...rates,
			spreadWindowAt: isNewWindow ? now : rates.spreadWindowAt,
			spreadRecords: spread + others.length,
		},
	};
}

/** Sends fresh changes to a few neighbours and, as a bridge, further. */
export function spreadChanges(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const planned = {...state, isSpreadPlanned: false};
	const relayed = relayChanges(planned, now, random);
	if (planned.fresh.size === 0 || planned.role !== 'member') {
		return {
			state: {...relayed.state, fresh: new Set()},
			effects: relayed.effects,
		};
	}

	const targets = pickSome(listNeighbours(planned), spreadFanOut, random);
	const {rates, names} = takeSpread(planned, now);
	const request = {
		kind: 'ping' as const,
		from: describeSender(planned),
		records: encodeRecords(planned, names, now),
	};
	return {
		state: {...relayed.state, rates, fresh: new Set()},
		effects: [
			...relayed.effects,
			...(names.length === 0 ? [] : targets).map(({address}) =>
				sendRequest(address, request),
			),
		],
	};
}

/** Spreads at once that the own node leaves. */
export function leaveMembers(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const changed = changeSelf(state, {state: 'left', upstreams: []});
	const spread = spreadChanges(changed.state, now, random);
	return {
		state: {...spread.state, role: 'left', leases: new Map()},
		effects: spread.effects,
	};
}
