import assert from 'node:assert/strict';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {createServer, type RequestListener} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'node:test';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import {startServer} from '../transport/_lib/start-server.js';
import {exitCodes} from './exit-codes.js';
import {runCommand} from './run-command.js';

const manifest = {
	team: 'kitchens',
	replaces: 0,
	services: {pricebook: {}},
	policies: {lookup: {repeatable: true}},
	routes: [
		{
			name: 'prices',
			path: '/kitchens/prices',
			service: 'pricebook',
			policy: 'lookup',
		},
	],
};

async function run(argv: readonly string[], input = '') {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await runCommand(argv, {
		print(line) {
			output.push(line);
		},
		printError(line) {
			errors.push(line);
		},
		readInput: async () => input,
	});
	return {code, output: output.join('\n'), errors: errors.join('\n')};
}

async function findClosedAddress(): Promise<string> {
	const server = await startServer('127.0.0.1:0', () => undefined);
	await server.stop();
	return server.address;
}

function respondWith(status: number, body: unknown): RequestListener {
	return (_request, response) => {
		response.writeHead(status).end(JSON.stringify(body));
	};
}

test('prints the help of every command', async () => {
	const names = [
		'node',
		'submit',
		'status',
		'versions',
		'explain',
		'check',
		'trace',
	];
	for (const argv of [
		['--help'],
		...names.map((name) => [name, '--node', '--help']),
	]) {
		const {code, output} = await run(argv);
		assert.equal(code, exitCodes.ok);
		matchSnapshot(import.meta.url, argv.join(' '), output);
	}
});

test('invalid command lines end with exit code 2 and one message', async () => {
	const node = ['--node', '127.0.0.1:1'];
	const lines = [
		[],
		['fetch'],
		['node'],
		['node', '--config', '/absent/node.ini'],
		['submit', ...node],
		['submit', 'a.json'],
		['submit', 'a.json', 'b.json', ...node],
		['submit', '-', '--node', '127.0.0.1:99999'],
		['submit', '-', '--node', 'localhost:80'],
		['submit', '-', ...node, '--id', 'a b'],
		['submit', '-', ...node, ...node],
		['submit', '-', ...node, '--timeout', '0'],
		['submit', '-', ...node, '--timeout', '1e3'],
		['submit', '/absent/manifest.json', ...node],
		['status', ...node, '--wait', '-1'],
		['status', 'seven', ...node],
		['status', ...node, '--wait'],
		['versions', ...node, '--jsn'],
		['versions', 'x', ...node],
		['explain', 'GET', ...node],
		['explain', 'GET', 'kitchens', ...node],
		['check'],
		['check', '/absent/manifest.json'],
		['trace'],
		['trace', 'af60', '/absent/node.log'],
	];
	for (const argv of lines) {
		const {code, output, errors} = await run(argv);
		assert.equal(code, exitCodes.usage, argv.join(' '));
		assert.equal(output, '');
		matchSnapshot(
			import.meta.url,
			`wrong: ${argv.join(' ')}`,
			errors.split('\n\nUsage', 1)[0],
		);
	}
});

test('each outcome of submit has its own exit code', async (t) => {
	const submissionId = 'a';
	const problems = [{code: 'quota', place: 'team', message: 'too many'}];
	const responses: Array<[RequestListener, keyof typeof exitCodes]> = [
		[
			respondWith(200, {
				kind: 'accepted',
				submissionId,
				version: 7,
				revision: 2,
			}),
			'ok',
		],
		[
			respondWith(422, {
				kind: 'refused',
				submissionId,
				currentRevision: 1,
				problems,
			}),
			'refused',
		],
		[respondWith(503, {kind: 'unavailable', submissionId}), 'unavailable'],
		[respondWith(504, {kind: 'unknown', submissionId}), 'unknown'],
		[respondWith(500, {error: 'failed'}), 'unknown'],
		[
			(request) => {
				request.socket.destroy();
			},
			'unknown',
		],
		[() => undefined, 'unknown'],
	];
	for (const [index, [listener, expected]] of responses.entries()) {
		const server = createServer(listener);
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const bound = server.address();
		const port = typeof bound === 'object' ? bound?.port : 0;
		const argv = ['submit', '-', '--node', `127.0.0.1:${port}`, '--id', 'a'];
		const timeout = [
			'--timeout',
			index === responses.length - 1 ? '200' : '5000',
		];
		const text = await run([...argv, ...timeout], JSON.stringify(manifest));
		const json = await run([...argv, ...timeout, '--json'], '{}');
		t.after(() => {
			server.closeAllConnections();
			server.close();
		});
		assert.equal(text.code, exitCodes[expected]);
		assert.equal(json.code, exitCodes[expected]);
		matchSnapshot(import.meta.url, `submit ${index}`, [
			text.output,
			JSON.parse(json.output),
		]);
	}

	const closed = await findClosedAddress();
	const refused = await run(['submit', '-', '--node', closed, '--id', 'a']);
	assert.equal(refused.code, exitCodes.unavailable);
});

test('status, versions and explain print text and JSON', async (t) => {
	const problem = {code: 'digest', place: 'digest', message: 'differs'};
	const dataCentres = [
		{
			dataCentre: 'abdali',
			state: 'in-force',
			lowestVersion: 7,
			members: 3,
			expectedMembers: 3,
			laggards: [],
			refusals: [],
		},
		{
			dataCentre: 'marka',
			state: 'refused',
			lowestVersion: 6,
			members: 2,
			expectedMembers: 3,
			laggards: ['marka-2'],
			refusals: [{name: 'marka-2', version: 7, problem}],
		},
	];
	const route = {
		team: 'kitchens',
		name: 'prices',
		path: '/kitchens/prices',
		service: 'kitchens/pricebook',
		repeatable: true,
		deadlineMs: 2000,
		maxAttempts: 3,
	};
	const host = {host: 'abdali-1', dataCentre: 'abdali', slots: 6};
	let statusRequests = 0;
	const bodies = new Map<string, () => unknown>([
		['/status', () => ({version: 7, state: 'accepted', dataCentres})],
		[
			'/status/7',
			() => ({
				version: 7,
				state: ++statusRequests > 2 ? 'in-force' : 'accepted',
				dataCentres,
			}),
		],
		['/status/9', () => ({version: 9, state: 'unknown', dataCentres: []})],
		['/status/5', () => ({version: 5, state: 'refused', dataCentres: []})],
		[
			'/versions',
			() => ({
				version: 7,
				digest: 'd1',
				teams: [{team: 'kitchens', revision: 2, version: 7}],
			}),
		],
		[
			'/explain?method=GET&path=%2Fkitchens%2Fprices',
			() => ({
				version: 7,
				route,
				hosts: [host],
			}),
		],
		[
			'/explain?method=GET&path=%2Fkitchens%2Fnone',
			() => ({
				version: 7,
				hosts: [],
			}),
		],
	]);
	const server = await startServer('127.0.0.1:0', (request, response) => {
		const url = String(request.url);
		const status = url.endsWith('none') ? 404 : 200;
		respondWith(status, bodies.get(url)!())(request, response);
	});
	t.after(server.stop);
	const cases: Array<[string[], keyof typeof exitCodes]> = [
		[['status'], 'pending'],
		[['status', '--wait', '5'], 'ok'],
		[['status', '9'], 'unknown'],
		[['status', '5', '--wait', '5'], 'refused'],
		[['versions'], 'ok'],
		[['explain', 'get', '/kitchens/prices'], 'ok'],
		[['explain', 'GET', '/kitchens/none'], 'refused'],
	];
	for (const [argv, expected] of cases) {
		const text = await run([...argv, '--node', server.address]);
		const json = await run([...argv, '--json', '--node', server.address]);
		assert.equal(text.code, exitCodes[expected], argv.join(' '));
		assert.equal(json.code, exitCodes[expected], argv.join(' '));
		assert.equal(typeof JSON.parse(json.output), 'object');
		matchSnapshot(import.meta.url, argv.join(' '), text.output);
	}

	const closed = await findClosedAddress();
	for (const command of ['status', 'versions']) {
		const {code} = await run([command, '--node', closed]);
		assert.equal(code, exitCodes.unavailable);
	}
});

test('check reports every problem without a node', async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-'));
	const text = JSON.stringify(manifest);
	const files: Array<[string, string]> = [
		['good.json', text],
		['later.json', text.replace('"replaces":0', '"replaces":4')],
		['shared.json', text.replace('"service":"pr', '"service":"stores/pr')],
		['dangling.json', text.replace('"pricebook":{}', '')],
		['unknown.json', text.replace('{"team"', '{"teem":1,"team"')],
		['twice.json', text.replace('{"team"', '{"team":"other","team"')],
		['cut.json', text.slice(0, 40)],
		['foreign.json', text.replace('/kitchens/prices', '/brigades/prices')],
		['large.json', text.padEnd(70_000)],
		[
			'good.ini',
			'[node]\nname = a\ndataCentre = abdali\ncallers = 10.0.0.1:80\npeers = 10.0.0.1:81\nadministration = 10.0.0.1:82\n[platform]\nurl = http://10.0.0.2:90\n',
		],
		['bad.ini', '[node]\nname = a b\n'],
	];
	for (const [name, content] of files) {
		const file = path.join(folder, name);
		await writeFile(file, content);
		const {code, output} = await run(['check', file]);
		const isGood = /good|later|shared/v.test(name);
		assert.equal(code, isGood ? exitCodes.ok : exitCodes.refused, name);
		matchSnapshot(
			import.meta.url,
			`check ${name}`,
			output.replaceAll(`${folder}/`, '').replace(/not JSON: .*/v, 'not JSON'),
		);
	}
});
