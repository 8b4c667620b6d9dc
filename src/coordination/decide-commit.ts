import type {
	Commit,
	Configuration,
	LogEntry,
	Problem,
	Submission,
	SubmissionOutcome,
} from '../protocol/configuration.js';
import {
	maxChangesPerMinutePerTeam,
	msPerMinute,
} from '../protocol/constants.js';
import {applyCommits} from '../state/apply-commits.js';
import {validateManifest} from '../state/validate-manifest.js';
import {interleaveByTeam} from './interleave-by-team.js';

/** A proposed log entry and the answers that hold without it. */
export type CommitDecision = {
	/** Entry to create, absent when no submission can be accepted. */
	readonly entry: LogEntry | undefined;
	/** Outcomes if the entry is created, in the order of the submissions. */
	readonly outcomes: readonly SubmissionOutcome[];
};

function findAcceptedOutcome(
	configuration: Configuration,
	submission: Submission,
): SubmissionOutcome | undefined {
	const team = configuration.teams[submission.manifest.team];
	const record = team?.submissions.find(
		({id}) => id === submission.submissionId,
	);
	return (
		record && {
			kind: 'accepted',
			submissionId: submission.submissionId,
			version: record.version,
			revision: record.revision,
		}
	);
}

function checkQuota(
	configuration: Configuration,
	team: string,
	now: number,
): readonly Problem[] {
	const recent = (configuration.teams[team]?.submissions ?? []).filter(
		({acceptedAtMs}) => now - acceptedAtMs < msPerMinute,
	);
	if (recent.length < maxChangesPerMinutePerTeam) {
		return [];
	}

	return [
		{
			code: 'quota',
			place: 'team',
			message: `more than ${maxChangesPerMinutePerTeam} changes in a minute`,
		},
	];
}

/**
 * Decides which submissions the next log entry accepts.
 *
 * Submissions are taken round-robin by team and each is judged by itself on
 * the configuration that those before it leave. The outcomes hold only once
 * the entry has been created; after a lost race, decide again.
 *
 * @param configuration - the newest configuration of the log
 * @param submissions - waiting submissions in order of arrival
 * @param now - wall-clock time in ms
 * @returns the entry to create and the outcomes that follow from it
 * @example
 * decideCommit(createConfiguration(), [submission], 0).entry?.version; // 1
 */
export function decideCommit(
	configuration: Configuration,
	submissions: readonly Submission[],
	now: number,
): CommitDecision {
	const commits: Commit[] = [];
	const outcomes: SubmissionOutcome[] = [];
	const version = configuration.version + 1;
	let partial = configuration;
	for (const submission of interleaveByTeam(submissions)) {
		const {submissionId, manifest} = submission;
		const earlierOutcome = findAcceptedOutcome(partial, submission);
		if (earlierOutcome) {
			outcomes.push(earlierOutcome);
			continue;
		}

		const quotaProblems = checkQuota(partial, manifest.team, now);
		const problems =
			quotaProblems.length > 0
				? quotaProblems
				: validateManifest(partial, manifest);
		if (problems.length > 0) {
			const currentRevision = partial.teams[manifest.team]?.revision ?? 0;
			outcomes.push({
				kind: 'refused',
				submissionId,
				currentRevision,
				problems: [...problems],
			});
			continue;
		}

		const commit = {submissionId, acceptedAtMs: now, manifest};
		commits.push(commit);
		partial = {
			...applyCommits(partial, [commit]),
			version: configuration.version,
		};
		const {revision} = partial.teams[manifest.team]!;
		outcomes.push({kind: 'accepted', submissionId, version, revision});
	}

	if (commits.length === 0) {
		return {entry: undefined, outcomes};
	}

	const {digest} = applyCommits(configuration, commits);
	return {entry: {version, digest, commits}, outcomes};
}
