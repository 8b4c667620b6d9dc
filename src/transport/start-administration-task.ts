import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {
	type Configuration,
	type DataCentreStatus,
	type SubmissionOutcome,
	dataCentreStatusSchema,
	submissionIdSchema,
} from '../protocol/configuration.js';
import {maxManifestBytes, retryAfterSeconds} from '../protocol/constants.js';
import {manifestSchema} from '../protocol/manifest.js';
import {
	announcementSchema,
	type Announcement,
	type MembersView,
} from '../protocol/member.js';
import {matchRoute} from '../state/match-route.js';
import {compileRoutes} from '../state/compile-routes.js';
import {readBody} from './_lib/read-body.js';
import {sendJson} from './_lib/send-json.js';
import {createListener} from './_lib/create-listener.js';
import {startServer, type RunningServer} from './_lib/start-server.js';
import type {PlatformClient} from './create-platform-client.js';
import type {CommitTask} from './start-commit-task.js';

/** Options of `startAdministrationTask`. */
export type AdministrationTaskOptions = {
	readonly address: string;
	readonly commit: CommitTask;
	readonly platform: PlatformClient;
	readonly readConfiguration: () => Configuration;
	readonly readView: () => MembersView;
	readonly announce: (id: string, announcement: Announcement) => void;
	readonly withdraw: (id: string) => void;
};

const statusByOutcome: Readonly<Record<SubmissionOutcome['kind'], number>> = {
	accepted: 200,
	refused: 422,
	unavailable: 503,
	unknown: 504,
};

function readId(parameter: unknown): string {
	return decodeURIComponent(String(parameter));
}

async function readJson(
	request: IncomingMessage,
	response: ServerResponse,
): Promise<{readonly value: unknown} | undefined> {
	const body = await readBody(request, maxManifestBytes);
	if (body.isErr()) {
		sendJson(response, 413, {error: `body over ${maxManifestBytes} bytes`});
		return undefined;
	}

	try {
		return {value: JSON.parse(Buffer.from(body.value).toString()) as unknown};
	} catch (error) {
		sendJson(response, 400, {error: `not JSON: ${String(error)}`});
		return undefined;
	}
}

/**
 * Starts the administration API of a node: manifests and status for
 * operators, announcements for the upstreams on the host.
 *
 * @param options - see `AdministrationTaskOptions`
 * @returns the running server
 * @example
 * await startAdministrationTask({address: '127.0.0.1:8082', ...tasks});
 */
export async function startAdministrationTask(
	options: AdministrationTaskOptions,
): Promise<RunningServer> {
	const {commit, platform, readConfiguration, readView} = options;

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

	const app = polka()
		.post('/manifests', (request, response) => {
			void handleSubmit(request, response);
		})
		.get('/status/:version', (request, response) => {
			void handleStatus(Number(request.params.version), response);
		})
		.get('/status', (_request, response) => {
			void handleStatus(readConfiguration().version, response);
		})
		.get('/versions', (_request, response) => {
			const {version, digest, teams} = readConfiguration();
			const revisions = Object.entries(teams).map(([team, part]) => ({
				team,
				revision: part.revision,
				version: part.version,
			}));
			sendJson(response, 200, {version, digest, teams: revisions});
		})
		.get('/explain/:method/*', (request, response) => {
			const path = `/${String(request.params.wild ?? '')}`;
			const table = compileRoutes(readConfiguration());
			const route = matchRoute(table, String(request.params.method), path);
			const hosts = route && readView().candidates.get(route.service);
			sendJson(response, route ? 200 : 404, {
				version: table.version,
				route: route && {...route, methods: [...route.methods]},
				hosts: hosts ?? [],
			});
		})
		.put('/upstreams/:id', async (request, response) => {
			const json = await readJson(request, response);
			const parsed = json && announcementSchema.safeParse(json.value);
			if (parsed?.success) {
				options.announce(readId(request.params.id), parsed.data);
				sendJson(response, 200, {});
			} else if (parsed) {
				sendJson(response, 422, {problems: parsed.error.issues});
			}
		})
		.delete('/upstreams/:id', (request, response) => {
			options.withdraw(readId(request.params.id));
			sendJson(response, 200, {});
		})
		.get('/members', (_request, response) => {
			sendJson(response, 200, readView().members);
		})
		.get('/health', (_request, response) => {
			sendJson(response, 200, {version: readConfiguration().version});
		});
	return startServer(options.address, createListener(app));
}
