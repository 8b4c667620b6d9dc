import type {
	CommitEffect,
	CommitMessage,
	PendingSubmission,
} from '../coordination/commit-state.js';
import {createCommitState} from '../coordination/create-commit-state.js';
import {createSnapshotState} from '../coordination/create-snapshot-state.js';
import {stepCommit} from '../coordination/step-commit.js';
import type {SnapshotMessage} from '../coordination/snapshot-state.js';
import {stepSnapshot} from '../coordination/step-snapshot.js';
import type {
	Configuration,
	LogEntry,
	Submission,
	SubmissionOutcome,
} from '../protocol/configuration.js';
import {runPlatformCall} from './_lib/run-platform-call.js';
import type {PlatformClient} from './platform-client.js';

/** Options of `startCommitTask`. */
export type CommitTaskOptions = {
	readonly platform: PlatformClient;
	/** Reads the newest configuration that the node holds. */
	readonly readConfiguration: () => Configuration;
	/** Called with entries found in, or added to, the log. */
	readonly onEntries: (entries: readonly LogEntry[]) => void;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** The task that takes submissions into the log. */
export type CommitTask = {
	submit(submission: Submission): Promise<SubmissionOutcome>;
};

/**
 * Starts the task that accepts submissions by conditional writes in the log.
 *
 * Submissions that arrive while a group is being committed form the next
 * groups. The decisions are those of `stepCommit` and `stepSnapshot`.
 *
 * @param options - see `CommitTaskOptions`
 * @returns the running task
 * @example
 * await startCommitTask({platform, readConfiguration, onEntries}).submit(submission);
 */
export function startCommitTask(options: CommitTaskOptions): CommitTask {
	const {platform, readConfiguration, onEntries} = options;
	const {now = Date.now, random = Math.random} = options;
	const resolvers = new Map<number, (outcome: SubmissionOutcome) => void>();
	let state = createCommitState(readConfiguration());
	let snapshot = createSnapshotState();
	let lastTicket = 0;

	function tell(message: CommitMessage): void {
		const step = stepCommit(state, message, {now: now(), random});
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect);
		}
	}

	function tellSnapshot(message: SnapshotMessage): void {
		const step = stepSnapshot(snapshot, message);
		snapshot = step.state;
		for (const effect of step.effects) {
			if (effect.kind === 'stored') {
				tell({kind: 'snapshot-stored', version: effect.version});
			} else {
				const {callId, call} = effect;
				void runPlatformCall(platform, call).then((outcome) => {
					tellSnapshot({kind: 'answer', callId, outcome});
				});
			}
		}
	}

	function carryOut(effect: CommitEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				void runPlatformCall(platform, call).then((outcome) => {
					tell({kind: 'answer', callId, outcome});
				});
				break;
			}

			case 'wait': {
				const {callId, delayMs} = effect;
				setTimeout(() => {
					tell({kind: 'timer', callId});
				}, delayMs);
				break;
			}

			case 'reply': {
				resolvers.get(effect.replyId)?.(effect.outcome);
				resolvers.delete(effect.replyId);
				break;
			}

			case 'entries': {
				onEntries(effect.entries);
				break;
			}

			case 'store-snapshot': {
				tellSnapshot({kind: 'store', configuration: effect.configuration});
				break;
			}
		}
	}

	return {
		async submit(submission) {
			tell({kind: 'configuration', configuration: readConfiguration()});
			lastTicket++;
			const pending: PendingSubmission = {...submission, replyId: lastTicket};
			return new Promise((resolve) => {
				resolvers.set(pending.replyId, resolve);
				tell({kind: 'submit', pending});
			});
		},
	};
}
