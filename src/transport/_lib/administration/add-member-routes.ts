import type {Polka} from 'polka';
import {announcementSchema} from '../../../protocol/member.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {readJson} from './read-json.js';

function readId(parameter: unknown): string {
	return decodeURIComponent(String(parameter));
}

/**
 * Adds the routes on which upstreams of this host announce themselves, and the
 * one that shows the members.
 *
 * @param app - the application
 * @param options - the tasks that are told of upstreams, and the view
 */
export function addMemberRoutes(
	app: Polka,
	options: Pick<
		AdministrationTaskOptions,
		'announce' | 'withdraw' | 'readView'
	>,
): void {
	const {announce, withdraw, readView} = options;
	app
		.put('/upstreams/:id', async (request, response) => {
			const json = await readJson(request, response);
			const parsed = json && announcementSchema.safeParse(json.value);
			if (parsed?.success) {
				const outcome = announce(readId(request.params.id), parsed.data);
				sendJson(response, outcome === 'accepted' ? 200 : 409, {outcome});
			} else if (parsed) {
				sendJson(response, 422, {problems: parsed.error.issues});
			}
		})
		.delete('/upstreams/:id', (request, response) => {
			withdraw(readId(request.params.id));
			sendJson(response, 200, {});
		})
		.get('/members', (_request, response) => {
			sendJson(response, 200, readView().members);
		});
}
