import assert from 'node:assert/strict';
import test from 'node:test';
import {addressSchema, listenAddressSchema} from './address.js';

const usable = [
	'10.0.0.1:1',
	'255.255.255.255:65535',
	'127.0.0.1:80',
	'1.0.0.0:9',
];
const unusable: readonly unknown[] = [
	'',
	'10.0.0.1',
	'10.0.0.1:',
	'10.0.0.1:65536',
	'10.0.0.1:99999',
	'10.0.0.1:1e3',
	'10.0.0.1:-1',
	'10.0.0.1:080',
	'10.0.0.1:80\n',
	' 10.0.0.1:80',
	'10.0.0:80',
	'10.0.0.0.1:80',
	'999.1.1.1:80',
	'256.0.0.1:80',
	'010.0.0.1:80',
	'....:80',
	'localhost:80',
	'[::1]:80',
	`${'1'.repeat(100_000)}:80`,
	80,
	null,
	['10.0.0.1:80'],
];

test('accepts only addresses to which a connection can be opened', () => {
	for (const address of usable) {
		assert.ok(addressSchema.safeParse(address).success, address);
	}

	for (const address of [...unusable, '10.0.0.1:0', '0.0.0.0:80']) {
		assert.ok(!addressSchema.safeParse(address).success, String(address));
	}
});

test('a listener may take a free port and all addresses of its host', () => {
	for (const address of [...usable, '10.0.0.1:0', '0.0.0.0:80']) {
		assert.ok(listenAddressSchema.safeParse(address).success, address);
	}

	for (const address of unusable) {
		assert.ok(!listenAddressSchema.safeParse(address).success, String(address));
	}
});
