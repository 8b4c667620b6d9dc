/* eslint-disable camelcase -- names on the wire, and flags that callbacks change */
/**
 * A stand-in for the platform's metadata store: objects by kind and name, with
 * revisions, conditional writes, lists and watches.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {listen, readBody} from './http.mjs';

const maxWaitMs = 30_000;

function formatEvent({object, isDeleted}) {
	return {object, deleted: isDeleted};
}

/**
 * Starts the store on a free port of a loopback address.
 *
 * @param {string} host - the loopback address
 * @returns the running store
 */
export async function startStore(host) {
	const objects = new Map();
	const history = [];
	const waiting = new Set();
	let revision = 1;

	function put(kind, name, changes) {
		const key = `${kind}/${name}`;
		const before = objects.get(key);
		const isSame =
			before !== undefined &&
			Object.entries(changes).every(
				([field, value]) =>
					JSON.stringify(before[field]) === JSON.stringify(value),
			);
		if (isSame) {
			return before;
		}

		revision++;
		const object = {
			metadata: {
				name,
				revision,
				created_rev: before?.metadata.created_rev ?? revision,
				finalizers: [],
				deleting: false,
			},
			spec: before?.spec ?? null,
			status: before?.status ?? null,
			...changes,
		};
		objects.set(key, object);
		publish(kind, object, false);
		return object;
	}

	function remove(kind, name) {
		const key = `${kind}/${name}`;
		const before = objects.get(key);
		objects.delete(key);
		revision++;
		const metadata = {...before.metadata, revision};
		publish(kind, {...before, metadata}, true);
	}

	function publish(kind, object, isDeleted) {
		history.push({kind, object, isDeleted});
		for (const wake of waiting) {
			wake();
		}
	}

	function listEvents(kind, after) {
		return history
			.filter(
				(event) =>
					event.kind === kind && event.object.metadata.revision > after,
			)
			.map((event) => formatEvent(event));
	}

	async function watch(kind, after, waitMs, response) {
		if (listEvents(kind, after).length === 0 && waitMs > 0) {
			await new Promise((resolve) => {
				const finish = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (listEvents(kind, after).length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Math.min(waitMs, maxWaitMs));
				waiting.add(wake);
				response.once('close', finish);
			});
		}

		return {events: listEvents(kind, after), current_rev: revision};
	}

	async function readKind(kind, parameters, response) {
		const after = parameters.get('watch');
		if (after !== null) {
			const waitMs = Number(parameters.get('wait_ms') ?? 0);
			return watch(kind, Number(after), waitMs, response);
		}

		const from = parameters.get('after') ?? '';
		const items = [...objects]
			.filter(([key]) => key.startsWith(`${kind}/`))
			.map(([, object]) => object)
			.filter((object) => object.metadata.name > from)
			.toSorted((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		return {items, more: false, current_rev: revision};
	}

	/** Changes an object, unless the call names a revision that it does not have; returns status and body. */
	function change(method, {kind, name, part, body, expected}) {
		const current = objects.get(`${kind}/${name}`);
		if (!current) {
			return [404, {}];
		}

		if (
			expected !== undefined &&
			Number(expected) !== current.metadata.revision
		) {
			return [409, current];
		}

		if (method === 'DELETE') {
			remove(kind, name);
			return [200, {}];
		}

		const changes =
			part === 'status'
				? {status: body.status ?? null}
				: {spec: body.spec ?? null};
		return [200, put(kind, name, changes)];
	}

	async function handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const text = await readBody(request);
		const body = text === '' ? {} : JSON.parse(text);
		const [kind, name, part] = url.pathname
			.split('/')
			.slice(2)
			.map((word) => decodeURIComponent(word));
		const expected =
			body.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
		switch (request.method) {
			case 'GET': {
				const current = objects.get(`${kind}/${name}`);
				return name === undefined
					? [200, await readKind(kind, url.searchParams, response)]
					: [current ? 200 : 404, current ?? {}];
			}

			case 'POST': {
				const created = body.metadata.name;
				const existing = objects.get(`${kind}/${created}`);
				return existing
					? [409, existing]
					: [200, put(kind, created, {spec: body.spec ?? null})];
			}

			case 'PUT':
			case 'DELETE': {
				return change(request.method, {kind, name, part, body, expected});
			}

			default: {
				return [404, {}];
			}
		}
	}

	const server = createServer((request, response) => {
		handle(request, response).then(
			([status, body]) => {
				const text = JSON.stringify(body);
				response.writeHead(status, {
					'content-type': 'application/json',
					'content-length': Buffer.byteLength(text),
				});
				response.end(text);
			},
			() => {
				response.destroy();
			},
		);
	});
	server.keepAliveTimeout = 60_000;
	const address = await listen(server, host);
	return {
		address,
		/** Writes an object as the operator does. */
		write(kind, name, spec) {
			return put(kind, name, {spec});
		},
		read: (kind, name) => objects.get(`${kind}/${name}`),
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
