import {computeBackoff} from '../coordination/compute-backoff.js';
import {decideCommit} from '../coordination/decide-commit.js';
import {
	type Configuration,
	type LogEntry,
	type Submission,
	type SubmissionOutcome,
	logEntrySchema,
} from '../protocol/configuration.js';
import {applyEntry} from '../state/apply-entry.js';
import {formatLogKey, logPrefix} from './_lib/format-log-key.js';
import {waitMs} from './_lib/wait-ms.js';
import type {PlatformClient} from './create-platform-client.js';

/** Options of `startCommitTask`. */
export type CommitTaskOptions = {
	readonly platform: PlatformClient;
	/** Reads the configuration that the node runs. */
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

type Pending = {
	readonly submission: Submission;
	readonly resolve: (outcome: SubmissionOutcome) => void;
};

const maxCommitTries = 10;

/**
 * Starts the task that accepts submissions by conditional creates in the log.
 *
 * Submissions that arrive while a group is being committed form the next
 * group.
 *
 * @param options - see `CommitTaskOptions`
 * @returns the running task
 * @example
 * await startCommitTask({platform, readConfiguration, onEntries}).submit(submission);
 */
export function startCommitTask(options: CommitTaskOptions): CommitTask {
	const {platform, readConfiguration, onEntries} = options;
	const {now = Date.now, random = Math.random} = options;
	let latest = readConfiguration();
	let waiting: Pending[] = [];
	let isRunning = false;

	async function readLog(): Promise<boolean> {
		const own = readConfiguration();
		latest = own.version > latest.version ? own : latest;
		for (;;) {
			const outcome = await platform.listObjects(
				logPrefix,
				formatLogKey(latest.version),
			);
			if (outcome.kind !== 'items') {
				return false;
			}

			const entries = outcome.items.map(({value}) =>
				logEntrySchema.parse(value),
			);
			for (const entry of entries) {
				const result = applyEntry(latest, entry);
				if (result.isErr()) {
					return false;
				}

				latest = result.value;
			}

			onEntries(entries);
			if (!outcome.more) {
				return true;
			}
		}
	}

	async function isOwnEntry(entry: LogEntry): Promise<boolean | undefined> {
		const outcome = await platform.readObject(formatLogKey(entry.version));
		if (outcome.kind === 'unavailable') {
			return undefined;
		}

		return (
			outcome.kind === 'found' &&
			logEntrySchema.parse(outcome.object.value).digest === entry.digest
		);
	}

	async function commitGroup(
		group: readonly Submission[],
	): Promise<readonly SubmissionOutcome[]> {
		const answerAll = (kind: 'unavailable' | 'unknown') =>
			group.map(({submissionId}) => ({kind, submissionId}));
		for (let attempt = 1; attempt <= maxCommitTries; attempt++) {
			if (!(await readLog())) {
				return answerAll('unavailable');
			}

			const {entry, outcomes} = decideCommit(latest, group, now());
			if (!entry) {
				return outcomes;
			}

			const written = await platform.writeObject(
				formatLogKey(entry.version),
				entry,
				{kind: 'absent'},
			);
			if (written.kind === 'unavailable') {
				return answerAll('unavailable');
			}

			const isOwn =
				written.kind === 'written' ||
				(written.kind === 'unknown' && (await isOwnEntry(entry)));
			if (isOwn) {
				onEntries([entry]);
				return outcomes;
			}

			if (isOwn === undefined) {
				return answerAll('unknown');
			}

			await waitMs(computeBackoff(attempt, random()));
		}

		return answerAll('unavailable');
	}

	async function runGroups(): Promise<void> {
		if (isRunning) {
			return;
		}

		isRunning = true;
		while (waiting.length > 0) {
			const group = waiting;
			waiting = [];
			const outcomes = await commitGroup(
				group.map(({submission}) => submission),
			);
			const byId = new Map(
				outcomes.map((outcome) => [outcome.submissionId, outcome]),
			);
			for (const {submission, resolve} of group) {
				resolve(byId.get(submission.submissionId)!);
			}
		}

		isRunning = false;
	}

	return {
		async submit(submission) {
			return new Promise((resolve) => {
				waiting.push({submission, resolve});
				void runGroups();
			});
		},
	};
}
