import assert from 'node:assert/strict';
import test from 'node:test';
import {matchSnapshot} from '../../harness/match-snapshot.js';
import {parseSettings} from './parse-settings.js';

const good = `; a node of Costline Hosting
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
		parseSettings('node.ini', good)._unsafeUnwrap(),
	);
	const full = `${good}[members]\nseeds = 10.0.0.1:1, 10.0.0.2:2\n[log]\nlevel=debug\n[trace]\nexport=otlp\nurl=http://10.0.0.3:4318/v1/traces\nsampleRatio=1\n[metrics]\nstatsd = "10.0.0.4:8125" \n`;
	matchSnapshot(
		import.meta.url,
		'full',
		parseSettings('node.ini', full)._unsafeUnwrap(),
	);
});

const invalidFiles: Array<[string, string]> = [
	['empty', ''],
	['missing key', good.replace('name = abdali-1\n', '')],
	['unknown section', `${good}[mesh]\nsize = 3\n`],
	['nested section', `${good}[node.extra]\nsize = 3\n`],
	['unknown key', good.replace('name =', 'color = red\nname =')],
	['repeated key', good.replace('name =', 'name = marka-1\nname =')],
	['repeated section', `${good}[node]\n`],
	['key outside a section', `name = abdali-1\n${good}`],
	['prototype', `${good}[__proto__]\nname = a\n[log]\n__proto__ = b\n`],
	['neither section nor key', `${good}level\n[log\n= info\n`],
	['list', good.replace('name =', 'name[] =')],
	['bad name', good.replace('= abdali-1', '= abdali 1')],
	['bad data centre', good.replace('= abdali\n', '= Abdali\n')],
	['port out of range', good.replace(':8080', ':65536')],
	['no port', good.replace(':8080', '')],
	['host name', good.replace('127.0.0.1:8081', 'localhost:8081')],
	['bad octet', good.replace('127.0.0.1:8081', '127.0.0.256:8081')],
	['same address twice', good.replace(':8081', ':8080')],
	['peers everywhere', good.replace('127.0.0.1:8081', '0.0.0.0:8081')],
	['no capacity', good.replace('callers', 'capacity = 0\ncallers')],
	['capacity in parts', good.replace('callers', 'capacity = 0.5\ncallers')],
	['platform path', good.replace(':9000', ':9000/v1')],
	['platform scheme', good.replace('http:', 'ftp:')],
	['bad seed', `${good}[members]\nseeds = 10.0.0.1:1, marka-1\n`],
	['bad level', `${good}[log]\nlevel = verbose\n`],
	['bad export', `${good}[trace]\nexport = file\n`],
	['otlp without url', `${good}[trace]\nexport = otlp\n`],
	['ratio above 1', `${good}[trace]\nsampleRatio = 1.5\n`],
	['ratio not a number', `${good}[trace]\nsampleRatio = 1%\n`],
	['bad statsd', `${good}[metrics]\nstatsd = 10.0.0.4\n`],
	['many at once', '[node]\nname = a b\nname = c\n[trace]\nsampleRatio = x\n'],
];

test('reports each problem with line, section, key, value and the allowed values', () => {
	for (const [name, text] of invalidFiles) {
		const result = parseSettings('node.ini', text);
		assert.ok(result.isErr(), name);
		matchSnapshot(import.meta.url, name, result.error);
	}
});
