import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {readVersionStatus} from '../../read-version-status.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {createHandler} from './create-handler.js';

const versionPattern = /^\d{1,15}$/v;

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
		'platform' | 'readNewestConfiguration' | 'readView' | 'logger'
	>,
): void {
	const {platform, readNewestConfiguration, readView, logger} = options;

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
			acceptedVersion: readNewestConfiguration().version,
			dataCentres: [...dataCentres],
		});
		if (!status) {
			sendJson(response, 503, {error: 'platform unavailable'});
			return;
		}

		sendJson(response, 200, status);
	}

	app
		.get(
			'/status/:version',
			createHandler(logger, async (request, response) => {
				const version = String(request.params.version);
				if (versionPattern.test(version)) {
					await handleStatus(Number(version), response);
					return;
				}

				sendJson(response, 400, {error: 'the version is not a whole number'});
			}),
		)
		.get(
			'/status',
			createHandler(logger, async (_request, response) =>
				handleStatus(readNewestConfiguration().version, response),
			),
		);
}
