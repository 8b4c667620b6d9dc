import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {addressSchema} from '../../../protocol/address.js';
import {announcementSchema} from '../../../protocol/member.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {createHandler, type AdministrationRequest} from './create-handler.js';
import {readJson} from './read-json.js';
import {readUpstreamId} from './read-upstream-id.js';

/**
 * Adds the routes on which upstreams of this host announce and withdraw
 * themselves, and the route that lists the members.
 *
 * @param app - the polka application
 * @param options - handlers of announcements and withdrawals, and the reader of
 * the membership view
 */
export function addMemberRoutes(
	app: Polka,
	options: Pick<
		AdministrationTaskOptions,
		'announce' | 'withdraw' | 'readView' | 'logger'
	>,
): void {
	const {announce, withdraw, readView, logger} = options;

	function refuseId(response: ServerResponse): void {
		sendJson(response, 400, {
			error: 'the identifier is not 1 to 64 printable characters',
		});
	}

	async function handleAnnounce(
		request: AdministrationRequest,
		response: ServerResponse,
	): Promise<void> {
		const id = readUpstreamId(request.params.id);
		if (id === undefined) {
			refuseId(response);
			return;
		}

		const json = await readJson(request);
		if (json.isErr()) {
			const {status, message} = json.error;
			if (status === 0) {
				response.destroy();
			} else {
				response.shouldKeepAlive = false;
				sendJson(response, status, {error: message});
			}

			return;
		}

		const parsed = announcementSchema.safeParse(json.value);
		if (!parsed.success) {
			const problems = parsed.error.issues.map((issue) => ({
				place: issue.path.join('.'),
				message: issue.message,
			}));
			sendJson(response, 422, {error: 'not an announcement', problems});
			return;
		}

		if (!addressSchema.safeParse(parsed.data.address).success) {
			const message = 'not IP:PORT with a port from 1 to 65535';
			const problems = [{place: 'address', message}];
			sendJson(response, 422, {error: 'not an announcement', problems});
			return;
		}

		const outcome = announce(id, parsed.data);
		sendJson(response, outcome === 'accepted' ? 200 : 409, {outcome});
	}

	function handleWithdraw(
		request: AdministrationRequest,
		response: ServerResponse,
	): void {
		const id = readUpstreamId(request.params.id);
		if (id === undefined) {
			refuseId(response);
			return;
		}

		withdraw(id);
		sendJson(response, 200, {});
	}

	app
		.put('/upstreams/:id', createHandler(logger, handleAnnounce))
		.delete('/upstreams/:id', createHandler(logger, handleWithdraw))
		.get(
			'/members',
			createHandler(logger, (_request, response) => {
				sendJson(response, 200, readView().members);
			}),
		);
}
