import {randomUUID} from 'node:crypto';
import {
	submissionIdSchema,
	submissionOutcomeSchema,
	type SubmissionOutcome,
} from '../protocol/configuration.js';
import {callNode, type NodeResponse} from './_lib/call-node.js';
import {formatSubmission} from './_lib/format-submission.js';
import {nodeOptions, readNodeOptions} from './_lib/node-options.js';
import {readFileOperand} from './_lib/read-file-operand.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** What `submit` takes. */
export const submitSpec: CommandSpec = {
	name: 'submit',
	summary: 'Submits a manifest (JSON) to a node and prints the outcome.',
	operands: ['MANIFEST'],
	options: [
		...nodeOptions,
		{
			name: 'id',
			placeholder: 'ID',
			description: 'identifier of the submission; a random one when absent',
		},
	],
	notes: [
		'MANIFEST is a file, or - for standard input. Submitting again with the same',
		'identifier gives the first answer and never a second change.',
		'Exit codes: 0 accepted, 2 wrong command line, 3 refused, 4 unavailable (not',
		'accepted), 5 unknown (ask again with the identifier that is printed).',
	],
};

const codeByKind: Readonly<Record<SubmissionOutcome['kind'], ExitCode>> = {
	accepted: exitCodes.ok,
	refused: exitCodes.refused,
	unavailable: exitCodes.unavailable,
	unknown: exitCodes.unknown,
};

function readOutcome(
	answer: NodeResponse,
	submissionId: string,
): SubmissionOutcome {
	if (answer.kind === 'not-sent') {
		return {kind: 'unavailable', submissionId};
	}

	const parsed = submissionOutcomeSchema.safeParse(
		answer.kind === 'answer' ? answer.body : undefined,
	);
	return parsed.success ? parsed.data : {kind: 'unknown', submissionId};
}

/**
 * Submits a manifest to a node.
 *
 * A connection that was never made is `unavailable`; an answer that was lost,
 * late or not understood is `unknown`.
 *
 * @param input - the parsed command line
 * @param terminal - where to read and write
 * @returns the exit code
 * @example
 * await runSubmit({operands: ['m.json'], values: {node: '127.0.0.1:8082'}, flags}, terminal);
 */
export async function runSubmit(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const options = readNodeOptions(input);
	const submissionId = input.values.id ?? randomUUID();
	const isIdValid = submissionIdSchema.safeParse(submissionId).success;
	const body = await readFileOperand(input.operands[0]!, terminal);
	if (options.isErr() || body.isErr() || !isIdValid) {
		const problems = [
			options.isErr() ? options.error : '',
			body.isErr() ? body.error : '',
			isIdValid
				? ''
				: `--id: '${submissionId}' is not 1 to 128 letters, digits or _ . : -`,
		];
		for (const problem of problems.filter(Boolean)) {
			terminal.printError(`boragehitch submit: ${problem}`);
		}

		return exitCodes.usage;
	}

	const {address, timeoutMs, isJson} = options.value;
	const answer = await callNode(address, '/manifests', {
		method: 'POST',
		headers: {
			'content-type': 'application/json',
			'idempotency-key': submissionId,
		},
		body: body.value,
		timeoutMs,
	});
	const outcome = readOutcome(answer, submissionId);
	if (answer.kind !== 'answer') {
		terminal.printError(answer.message);
	}

	terminal.print(isJson ? JSON.stringify(outcome) : formatSubmission(outcome));
	return codeByKind[outcome.kind];
}
