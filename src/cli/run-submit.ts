import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {
	submissionOutcomeSchema,
	type SubmissionOutcome,
} from '../protocol/configuration.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

const codeByKind: Readonly<Record<SubmissionOutcome['kind'], ExitCode>> = {
	accepted: exitCodes.ok,
	refused: exitCodes.refused,
	unavailable: exitCodes.unavailable,
	unknown: exitCodes.unknown,
};

function formatOutcome(outcome: SubmissionOutcome): string {
	switch (outcome.kind) {
		case 'accepted': {
			return `accepted: version ${outcome.version}, revision ${outcome.revision}`;
		}

		case 'refused': {
			const lines = outcome.problems.map(
				({place, code, message}) => `  ${place}: ${code}: ${message}`,
			);
			return ['refused:', ...lines].join('\n');
		}

		case 'unavailable': {
			return 'unavailable: not accepted, try again';
		}

		case 'unknown': {
			return `unknown: ask again with --id ${outcome.submissionId}`;
		}
	}
}

/**
 * Submits a manifest to a node.
 *
 * @param argv - arguments of the command
 * @returns the exit code
 * @example
 * await runSubmit(['manifest.json', '--node', '127.0.0.1:8082']);
 */
export async function runSubmit(argv: readonly string[]): Promise<ExitCode> {
	const {values, positionals} = parseArgs({
		args: [...argv],
		allowPositionals: true,
		options: {
			node: {type: 'string'},
			id: {type: 'string'},
			json: {type: 'boolean'},
		},
	});
	const submissionId = values.id ?? randomUUID();
	let outcome: SubmissionOutcome;
	try {
		const response = await request(`http://${values.node}/manifests`, {
			method: 'POST',
			headers: {'idempotency-key': submissionId},
			body: await readFile(positionals[0] ?? ''),
		});
		outcome = submissionOutcomeSchema.parse(await response.body.json());
	} catch {
		outcome = {kind: 'unknown', submissionId};
	}

	console.log(values.json ? JSON.stringify(outcome) : formatOutcome(outcome));
	return codeByKind[outcome.kind];
}
