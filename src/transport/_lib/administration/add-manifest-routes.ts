import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	submissionIdSchema,
	type SubmissionOutcome,
} from '../../../protocol/configuration.js';
import {retryAfterSeconds} from '../../../protocol/constants.js';
import {manifestSchema} from '../../../protocol/manifest.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {readJson} from './read-json.js';

const statusByOutcome: Readonly<Record<SubmissionOutcome['kind'], number>> = {
	accepted: 200,
	refused: 422,
	unavailable: 503,
	unknown: 504,
};

/**
 * Adds the route on which operators submit manifests.
 *
 * @param app - the application
 * @param options - the task that commits submissions
 */
export function addManifestRoutes(
	app: Polka,
	options: Pick<AdministrationTaskOptions, 'commit'>,
): void {
	const {commit} = options;

	async function handleSubmit(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const json = await readJson(request, response);
		if (!json) {
			return;
		}

		const submissionId = String(
			request.headers['idempotency-key'] ?? randomUUID(),
		);
		const manifest = manifestSchema.safeParse(json.value);
		if (
			!manifest.success ||
			!submissionIdSchema.safeParse(submissionId).success
		) {
			const problems = (manifest.error?.issues ?? []).map((issue) => ({
				code: 'schema' as const,
				place: issue.path.join('.'),
				message: issue.message,
			}));
			sendJson(response, 422, {
				kind: 'refused',
				submissionId,
				currentRevision: 0,
				problems,
			} satisfies SubmissionOutcome);
			return;
		}

		const outcome = await commit.submit({
			submissionId,
			manifest: manifest.data,
		});
		const headers: Record<string, string> =
			outcome.kind === 'unavailable'
				? {'retry-after': String(retryAfterSeconds)}
				: {};
		sendJson(response, statusByOutcome[outcome.kind], outcome, headers);
	}

	app.post('/manifests', (request, response) => {
		void handleSubmit(request, response);
	});
}
