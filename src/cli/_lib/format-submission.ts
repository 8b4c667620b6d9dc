import type {SubmissionOutcome} from '../../protocol/configuration.js';

/**
 * Formats the outcome of a submission as text.
 *
 * @param outcome - the outcome
 * @returns one line, and one for each problem of a refusal
 */
export function formatSubmission(outcome: SubmissionOutcome): string {
	switch (outcome.kind) {
		case 'accepted': {
			return `accepted: version ${outcome.version}, revision ${outcome.revision}`;
		}

		case 'refused': {
			const lines = outcome.problems.map(
				({place, code, message}) => `  ${place}: ${code}: ${message}`,
			);
			return ['refused: nothing has changed', ...lines].join('\n');
		}

		case 'unavailable': {
			return 'unavailable: not accepted, nothing has changed; try again';
		}

		case 'unknown': {
			return `unknown: it may have been accepted; submit again with --id ${outcome.submissionId}`;
		}
	}
}
