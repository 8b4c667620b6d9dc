import type {MembersView} from '../protocol/member.js';
import type {
	ChoiceCount,
	RolloutAnswer,
	RolloutGauge,
	RolloutReport,
	RunningVersion,
	VersionCount,
} from '../protocol/rollout.js';
import type {CountedResponse} from './_lib/create-response-counter.js';
import type {VersionPicker} from './version-picker.js';

/** Task that applies roll-outs on this node, and leads them while it is the leader. */
export type RolloutTask = VersionPicker & {
	updateMembers(view: MembersView): void;
	/** Whether the node knows which versions run; until then it sends no request. */
	isSettled(): boolean;
	handleReport(report: RolloutReport): RolloutAnswer;
	/** Whether responses of a service are counted. */
	isCounting(service: string): boolean;
	recordResponse(response: CountedResponse): void;
	listGauges(): readonly RolloutGauge[];
	/** Returns the running version of each service that has one. */
	listRunning(): readonly RunningVersion[];
	/** Returns the versions chosen for requests on this node. */
	listChoices(): readonly ChoiceCount[];
	/** Returns the responses of upstreams on this host during the current roll-outs. */
	listCounts(): readonly VersionCount[];
	stop(): void;
};
