import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {readVersionStatus} from '../../read-version-status.js';
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
	options: Pick<
		AdministrationTaskOptions,
		'platform' | 'readNewest' | 'readView'
	>,
): void {
	const {platform, readNewest, readView} = options;

	async function handleStatus(
		version: number,
		response: ServerResponse,
	): Promise<void> {
		const dataCentres = new Set(
			readView()
				.members.filter(({state}) => state === 'alive' || state === 'suspect')
				.map(({dataCentre}) => dataCentre),
		);
		const status = await readVersionStatus(version, {
			platform,
			acceptedVersion: readNewest().version,
			dataCentres: [...dataCentres],
		});
		if (!status) {
			sendJson(response, 503, {error: 'platform unavailable'});
			return;
		}

		sendJson(response, 200, status);
	}

	app
		.get('/status/:version', (request, response) => {
			void handleStatus(Number(request.params.version), response);
		})
		.get('/status', (_request, response) => {
			void handleStatus(readNewest().version, response);
		});
}
