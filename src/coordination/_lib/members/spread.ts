/**
 * Helpers that spread changes without waiting for the next period.
 */
import {
	maxRecordsPerMessage,
	spreadFanOut,
} from '../../../protocol/constants.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {relayChanges} from './bridges.js';
import {listNeighbours} from './probe.js';
import {changeSelf} from './records.js';
import {describeSender, encodeRecords, pickSome, sendRequest} from './send.js';

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
	const names = [...planned.fresh].slice(-maxRecordsPerMessage);
	const request = {
		kind: 'ping' as const,
		from: describeSender(planned),
		records: encodeRecords(planned, names, now),
	};
	return {
		state: {...relayed.state, fresh: new Set()},
		effects: [
			...relayed.effects,
			...targets.map(({address}) => sendRequest(address, request)),
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
