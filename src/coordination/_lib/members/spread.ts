/**
 * Helpers that spread changed records without waiting for the next period.
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
 * Picks the pending changes to send at once: this node's always, those of others
 * up to `maxSpreadRecordsPerSecond`. The rest is piggybacked on probes, so that
 * many members that return at the same time do not cause a burst of messages.
 */
function pickSpreadNames(
	state: MembersState,
	now: number,
): {readonly rateLimits: RateLimitState; readonly names: readonly string[]} {
	const {self, pendingSpread, rateLimits} = state;
	const isNewWindow = now - rateLimits.spreadWindowStartedAt >= msPerSecond;
	const spread = isNewWindow ? 0 : rateLimits.spreadRecords;
	const own = [self.name].filter((name) => pendingSpread.has(name));
	const others = [...pendingSpread]
		.filter((name) => name !== self.name)
		.slice(0, Math.max(0, maxSpreadRecordsPerSecond - spread));
	return {
		names: [...own, ...others],
		rateLimits: {
			...rateLimits,
			spreadWindowStartedAt: isNewWindow
				? now
				: rateLimits.spreadWindowStartedAt,
			spreadRecords: spread + others.length,
		},
	};
}

/**
 * Sends pending changes to a few local peers and, on a bridge, to other data
 * centres.
 */
export function spreadChanges(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const cleared = {...state, isSpreadScheduled: false};
	const relayed = relayChanges(cleared, now, random);
	if (cleared.pendingSpread.size === 0 || cleared.role !== 'member') {
		return {
			state: {...relayed.state, pendingSpread: new Set()},
			effects: relayed.effects,
		};
	}

	const targets = pickRandomItems(
		listLocalPeers(cleared),
		spreadFanOut,
		random,
	);
	const {rateLimits, names} = pickSpreadNames(cleared, now);
	const request = {
		kind: 'ping' as const,
		from: describeSender(cleared),
		records: encodeRecords(cleared, names, now),
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

/** Marks this node as left and spreads that at once. */
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
