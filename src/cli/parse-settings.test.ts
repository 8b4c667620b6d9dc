import assert from 'node:assert/strict';
import test from 'node:test';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import {parseSettings} from './parse-settings.js';

const validText = `; a node of Costline Hosting
[node]
name = abdali-1
dataCentre = abdali
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
administration = 127.0.0.1:8082

[platform]
url = http://127.0.0.1:9000
`;

test('a file without the optional sections gets the default values', () => {
	matchSnapshot(
		import.meta.url,
		'defaults',
		parseSettings('node.ini', validText)._unsafeUnwrap(),
	);
	const full = `${validText}[members]\nseeds = 10.0.0.1:1, 10.0.0.2:2\n[log]\nlevel=debug\n[trace]\nexport=otlp\nurl=http://10.0.0.3:4318/v1/traces\nsampleRatio=1\n[metrics]\nstatsd = "10.0.0.4:8125" \n`;
	matchSnapshot(
		import.meta.url,
		'full',
		parseSettings('node.ini', full)._unsafeUnwrap(),
	);
});

const invalidFiles: Array<[string, string]> = [
	['empty', ''],
	['missing key', validText.replace('name = abdali-1\n', '')],
	['unknown section', `${validText}[mesh]\nsize = 3\n`],
	['nested section', `${validText}[node.extra]\nsize = 3\n`],
	['unknown key', validText.replace('name =', 'color = red\nname =')],
	['repeated key', validText.replace('name =', 'name = marka-1\nname =')],
	['repeated section', `${validText}[node]\n`],
	['key outside a section', `name = abdali-1\n${validText}`],
	['prototype', `${validText}[__proto__]\nname = a\n[log]\n__proto__ = b\n`],
	['neither section nor key', `${validText}level\n[log\n= info\n`],
	['list', validText.replace('name =', 'name[] =')],
	['bad name', validText.replace('= abdali-1', '= abdali 1')],
	['bad data centre', validText.replace('= abdali\n', '= Abdali\n')],
	['port out of range', validText.replace(':8080', ':65536')],
	['no port', validText.replace(':8080', '')],
	['host name', validText.replace('127.0.0.1:8081', 'localhost:8081')],
	['bad octet', validText.replace('127.0.0.1:8081', '127.0.0.256:8081')],
	['same address twice', validText.replace(':8081', ':8080')],
	['peers everywhere', validText.replace('127.0.0.1:8081', '0.0.0.0:8081')],
	['no capacity', validText.replace('callers', 'capacity = 0\ncallers')],
	[
		'capacity in parts',
		validText.replace('callers', 'capacity = 0.5\ncallers'),
	],
	['platform path', validText.replace(':9000', ':9000/v1')],
	['platform scheme', validText.replace('http:', 'ftp:')],
	['bad seed', `${validText}[members]\nseeds = 10.0.0.1:1, marka-1\n`],
	['bad level', `${validText}[log]\nlevel = verbose\n`],
	['bad export', `${validText}[trace]\nexport = file\n`],
	['otlp without url', `${validText}[trace]\nexport = otlp\n`],
	['ratio above 1', `${validText}[trace]\nsampleRatio = 1.5\n`],
	['ratio not a number', `${validText}[trace]\nsampleRatio = 1%\n`],
	['bad statsd', `${validText}[metrics]\nstatsd = 10.0.0.4\n`],
	['many at once', '[node]\nname = a b\nname = c\n[trace]\nsampleRatio = x\n'],
];

test('reports each problem with line, section, key, value and the allowed values', () => {
	for (const [name, text] of invalidFiles) {
		const result = parseSettings('node.ini', text);
		assert.ok(result.isErr(), name);
		matchSnapshot(import.meta.url, name, result.error);
	}
});
