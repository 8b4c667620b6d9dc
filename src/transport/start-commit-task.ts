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
	/** Called with entries that were read from or appended to the log. */
	readonly onEntries: (entries: readonly LogEntry[]) => void;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** The task that commits submissions to the log. */
export type CommitTask = {
	submit(submission: Submission): Promise<SubmissionOutcome>;
};

/**
 * Starts the task that commits submissions by conditional writes to the log.
 *
 * Submissions that arrive while a group is being committed are committed in the
 * next groups. `stepCommit` and `stepSnapshot` make the decisions.
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
	let snapshotState = createSnapshotState();
	let lastReplyId = 0;

	function dispatch(message: CommitMessage): void {
		const step = stepCommit(state, message, {now: now(), random});
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}
	}

	function dispatchSnapshot(message: SnapshotMessage): void {
		const step = stepSnapshot(snapshotState, message);
		snapshotState = step.state;
		for (const effect of step.effects) {
			if (effect.kind === 'stored') {
				dispatch({kind: 'snapshot-stored', version: effect.version});
			} else {
				const {callId, call} = effect;
				void runPlatformCall(platform, call).then((outcome) => {
					dispatchSnapshot({kind: 'answer', callId, outcome});
				});
			}
		}
	}

	function runEffect(effect: CommitEffect): void {
		switch (effect.kind) {
			case 'call': {
				const {callId, call} = effect;
				void runPlatformCall(platform, call).then((outcome) => {
					dispatch({kind: 'answer', callId, outcome});
				});
				break;
			}

			case 'wait': {
				const {callId, delayMs} = effect;
				setTimeout(() => {
					dispatch({kind: 'timer', callId});
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
				dispatchSnapshot({kind: 'store', configuration: effect.configuration});
				break;
			}
		}
	}

	return {
		async submit(submission) {
			dispatch({kind: 'configuration', configuration: readConfiguration()});
			lastReplyId++;
			const pending: PendingSubmission = {...submission, replyId: lastReplyId};
			return new Promise((resolve) => {
				resolvers.set(pending.replyId, resolve);
				dispatch({kind: 'submit', pending});
			});
		},
	};
}
