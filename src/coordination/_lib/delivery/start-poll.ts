import {
	callGraceMs,
	pollTimeoutMs,
	pollWaitMs,
} from '../../../protocol/constants.js';
import type {Member} from '../../../protocol/member.js';
import type {Poll} from '../../../protocol/peer.js';
import type {DeliveryState, DeliveryStep} from '../../delivery-state.js';
import {computeProgress} from './compute-progress.js';
import {
	addCall,
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';

/** Options of `startPoll`. */
export type PollOptions = {
	readonly kind: 'pull' | 'repair' | 'report';
	readonly waitMs: number;
	/** Whether the node reports to the other as its child. */
	readonly isChild: boolean;
	/** Whether to open a new connection, since one may be silent. */
	readonly needsNewConnection: boolean;
};

/** Starts a call to another node. */
export function startPoll(
	state: DeliveryState,
	member: Member,
	options: PollOptions,
	context: DeliveryContext,
): DeliveryStep {
	const {now} = context;
	const newest = findNewestConfiguration(state);
	const progress = options.isChild ? computeProgress(state) : undefined;
	const refused =
		state.refusedSnapshot.until > now ? state.refusedSnapshot.version : 0;
	const poll: Poll = {
		name: state.name,
		haveVersion: newest.version,
		haveDigest: newest.digest,
		afterVersion: Math.max(newest.version, refused),
		wantSnapshot: state.needsSnapshot,
		safeVersion: state.safeVersion,
		progress,
		waitMs: options.waitMs,
	};
	const timeoutMs = options.waitMs + pollTimeoutMs - pollWaitMs;
	const {kind} = options;
	const purpose = {kind, member: member.name, startedAt: now};
	const endsAt = now + timeoutMs + callGraceMs;
	const added = addCall(state, {purpose, endsAt});
	const {callId} = added;
	return {
		state: progress
			? {...added.state, lastReport: {text: formatReport(state), at: now}}
			: added.state,
		effects: [
			{
				kind: 'poll',
				callId,
				address: member.address,
				poll,
				timeoutMs,
				needsNewConnection: options.needsNewConnection,
			},
		],
	};
}

/** Formats what a node tells others, to see whether it has changed. */
export function formatReport(state: DeliveryState): string {
	const {version} = findNewestConfiguration(state);
	return JSON.stringify([version, state.safeVersion, computeProgress(state)]);
}
