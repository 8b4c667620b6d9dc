import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	submissionIdSchema,
	type Problem,
	type SubmissionOutcome,
} from '../../../protocol/configuration.js';
import {retryAfterSeconds} from '../../../protocol/constants.js';
import {parseManifest} from '../../../protocol/parse-manifest.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {createHandler, type AdministrationRequest} from './create-handler.js';
import {readJsonText} from './read-json-text.js';

const statusByOutcome: Readonly<Record<SubmissionOutcome['kind'], number>> = {
	accepted: 200,
	refused: 422,
	unavailable: 503,
	unknown: 504,
};

/** Submission identifier in responses to requests with an invalid one. */
const invalidId = 'invalid';

/**
 * Adds the route on which operators submit manifests.
 *
 * Every response is a submission outcome, even if the body is not JSON.
 *
 * @param app - the polka application
 * @param options - the task that commits submissions, and the logger
 */
export function addManifestRoutes(
	app: Polka,
	options: Pick<AdministrationTaskOptions, 'commit' | 'logger'>,
): void {
	const {commit, logger} = options;

	async function handleSubmit(
		request: AdministrationRequest,
		response: ServerResponse,
	): Promise<void> {
		const id = submissionIdSchema.safeParse(
			request.headers['idempotency-key'] ?? randomUUID(),
		);
		const submissionId = id.data ?? invalidId;

		function refuse(status: number, problems: readonly Problem[]): void {
			const outcome: SubmissionOutcome = {
				kind: 'refused',
				submissionId,
				currentRevision: 0,
				problems: [...problems],
			};
			if (status === 413) {
				response.shouldKeepAlive = false;
			}

			sendJson(response, status, outcome);
		}

		const text = await readJsonText(request);
		if (text.isErr()) {
			const {status, message} = text.error;
			if (status === 0) {
				response.destroy();
			} else {
				refuse(status, [{code: 'schema', place: 'body', message}]);
			}

			return;
		}

		if (!id.success) {
			const message = '1 to 128 letters, digits or _ . : - are allowed';
			refuse(400, [{code: 'schema', place: 'idempotency-key', message}]);
			return;
		}

		const manifest = parseManifest(text.value);
		if (manifest.isErr()) {
			refuse(statusByOutcome.refused, manifest.error);
			return;
		}

		const outcome = await commit.submit({
			submissionId,
			manifest: manifest.value,
		});
		const headers: Record<string, string> =
			outcome.kind === 'unavailable'
				? {'retry-after': String(retryAfterSeconds)}
				: {};
		sendJson(response, statusByOutcome[outcome.kind], outcome, headers);
	}

	app.post('/manifests', createHandler(logger, handleSubmit));
}
