import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	dataCentreStatusSchema,
	type DataCentreStatus,
} from '../../../protocol/configuration.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';

/**
 * Adds the routes on which operators read the progress of a version.
 *
 * @param app - the application
 * @param options - where progress and the own configuration are read
 */
export function addStatusRoutes(
	app: Polka,
	options: Pick<AdministrationTaskOptions, 'platform' | 'readConfiguration'>,
): void {
	const {platform, readConfiguration} = options;

	async function handleStatus(
		version: number,
		response: ServerResponse,
	): Promise<void> {
		const outcome = await platform.listObjects('status/');
		if (outcome.kind !== 'items') {
			sendJson(response, 503, {error: 'platform unavailable'});
			return;
		}

		const dataCentres: DataCentreStatus[] = outcome.items.flatMap(({value}) => {
			const parsed = dataCentreStatusSchema.safeParse(value);
			return parsed.success ? [parsed.data] : [];
		});
		const isAccepted = readConfiguration().version >= version;
		const isInForce =
			isAccepted &&
			dataCentres.length > 0 &&
			dataCentres.every((status) => status.version >= version);
		const state = isInForce ? 'in-force' : isAccepted ? 'accepted' : 'unknown';
		sendJson(response, 200, {version, state, dataCentres});
	}

	app
		.get('/status/:version', (request, response) => {
			void handleStatus(Number(request.params.version), response);
		})
		.get('/status', (_request, response) => {
			void handleStatus(readConfiguration().version, response);
		});
}
