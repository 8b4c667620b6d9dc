/**
 * Helpers that merge records received from other members.
 */
import {
	maxDataCentres,
	maxMembersPerDataCentre,
} from '../../../protocol/constants.js';
import type {Member, MemberRecord} from '../../../protocol/member.js';
import {decodeMember} from '../../../state/decode-member.js';
import {findMember} from '../../../state/find-member.js';
import {bucketsPerDataCentre} from '../../../state/member-table.js';
import {mergeMember} from '../../../state/merge-member.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {recordDepartures} from './departures.js';
import {handleSelfClaim} from './identity.js';
import {isPlausibleIncarnation, putRecords} from './records.js';
import {runActions} from './run-actions.js';
import {acceptDepartures} from './upstreams.js';

function isAdmissible(
	state: MembersState,
	record: MemberRecord,
	current: Member | undefined,
): boolean {
	if (current) {
		return true;
	}

	const buckets = state.table.get(record.dataCentre);
	if (!buckets) {
		return state.table.size < maxDataCentres;
	}

	const largest = Math.max(...buckets.map(({members}) => members.size));
	return largest < maxMembersPerDataCentre / bucketsPerDataCentre;
}

/**
 * Merges records received from another member; records that exceed a limit are
 * dropped.
 */
export function mergeRecords(
	state: MembersState,
	records: readonly MemberRecord[],
	now: number,
): MembersStep {
	const changed = new Map<string, Member>();
	let step: MembersStep = {state, effects: []};
	for (const record of records) {
		if (!isPlausibleIncarnation(state, record.incarnation, now)) {
			continue;
		}

		if (record.name === state.self.name) {
			const handled = runActions(step.state, [
				(next) => handleSelfClaim(next, record, now),
				(next) => acceptDepartures(next, record.departures, now),
			]);
			step = {
				state: handled.state,
				effects: [...step.effects, ...handled.effects],
			};
			continue;
		}

		step = {...step, state: recordDepartures(step.state, record, now)};
		const current =
			changed.get(record.name) ?? findMember(state.table, record.name);
		if (!isAdmissible(state, record, current)) {
			continue;
		}

		const merged = mergeMember(current, decodeMember(record, now));
		if (merged !== current) {
			changed.set(record.name, merged);
		}
	}

	const put = putRecords(step.state, [...changed.values()], now);
	return {state: put.state, effects: [...step.effects, ...put.effects]};
}
