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
	RateLimitState,
} from '../../members-state.js';
import {relayChanges} from './bridges.js';
import {listLocalPeers} from './probe.js';
import {updateSelf} from './records.js';
import {
	describeSender,
	encodeRecords,
	pickRandomItems,
	createRequestEffect,
} from './send.js';

/**
 * Takes the fresh changes that are sent at once: the own one always, others up
 * to a number a second. The rest goes with probes, so that a herd's return
 * does not become a storm.
 */
function takeSpread(
	state: MembersState,
	now: number,
): {readonly rates: RateLimitState; readonly names: readonly string[]} {
	const {self, pendingSpread, rateLimits} = state;
	const isNewWindow = now - rateLimits.spreadWindowStartedAt >= msPerSecond;
	const spread = isNewWindow ? 0 : rateLimits.spreadRecords;
	const own = [self.name].filter((name) => pendingSpread.has(name));
	const others = [...pendingSpread]
		.filter((name) => name !== self.name)
		.slice(0, Math.max(0, maxSpreadRecordsPerSecond - spread));
	return {
		names: [...own, ...others],
		rates: {
			...rateLimits,
			spreadWindowStartedAt: isNewWindow
				? now
				: rateLimits.spreadWindowStartedAt,
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
	if (planned.pendingSpread.size === 0 || planned.role !== 'member') {
		return {
			state: {...relayed.state, pendingSpread: new Set()},
			effects: relayed.effects,
		};
	}

	const targets = pickRandomItems(
		listLocalPeers(planned),
		spreadFanOut,
		random,
	);
	const {rates: rateLimits, names} = takeSpread(planned, now);
	const request = {
		kind: 'ping' as const,
		from: describeSender(planned),
		records: encodeRecords(planned, names, now),
	};
	return {
		state: {...relayed.state, rateLimits, pendingSpread: new Set()},
		effects: [
			...relayed.effects,
			...(names.length === 0 ? [] : targets).map(({address}) =>
				createRequestEffect(address, request),
			),
		],
	};
}

/** Spreads at once that the own node leaves. */
export function announceLeave(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const changed = updateSelf(state, {state: 'left', upstreams: []});
	const spread = spreadChanges(changed.state, now, random);
	return {
		state: {...spread.state, role: 'left', leases: new Map()},
		effects: spread.effects,
	};
}
