/**
 * Schema and types of a node's settings, as read from an INI file.
 *
 * The description of each setting states the allowed values. It appears in error
 * messages about invalid files and in docs/CONFIGURATION.md.
 */
import * as z from 'zod';
import {addressSchema, listenAddressSchema} from './address.js';
import {maxCapacity, referenceCapacity} from './constants.js';

const listenSchema = listenAddressSchema.describe(
	'IP:PORT, port 0 to 65535; 0 takes a free one',
);

const addressListSchema = z
	.string()
	.default('')
	.transform((value) =>
		value
			.split(',')
			.map((part) => part.trim())
			.filter(Boolean),
	)
	.pipe(z.array(addressSchema));

function createRatioSchema(defaultValue: string) {
	return z
		.string()
		.regex(/^\d+(?:\.\d+)?$/v, 'not a decimal number')
		.default(defaultValue)
		.transform(Number)
		.pipe(z.number().max(1))
		.describe('decimal number from 0 to 1');
}

const capacitySchema = z
	.string()
	.regex(/^\d+$/v, 'not an integer')
	.default(String(referenceCapacity))
	.transform(Number)
	.pipe(z.int().min(1).max(maxCapacity))
	.describe(`integer 1 to ${maxCapacity}`);

const nodeSchema = z
	.strictObject({
		name: z
			.string()
			.regex(/^[\w.\-]{1,64}$/v)
			.describe('1 to 64 letters, digits, dots, hyphens or underscores'),
		dataCentre: z
			.string()
			.regex(/^[a-z][a-z\d\-]{0,62}$/v)
			.describe(
				'1 to 63 lower-case letters, digits or hyphens, a letter first',
			),
		callers: listenSchema,
		peers: listenSchema,
		administration: listenSchema,
		capacity: capacitySchema,
	})
	.refine(({peers}) => !peers.startsWith('0.0.0.0:'), {
		path: ['peers'],
		error: 'other nodes cannot reach 0.0.0.0',
	})
	.superRefine((node, context) => {
		const used = new Set<string>();
		for (const key of ['callers', 'peers', 'administration'] as const) {
			const address = node[key];
			if (used.has(address) && !address.endsWith(':0')) {
				context.addIssue({
					code: 'custom',
					path: [key],
					message: 'the address is used by another listener',
				});
			}

			used.add(address);
		}
	});

const traceSchema = z
	.strictObject({
		export: z
			.enum(['none', 'log', 'otlp'])
			.default('none')
			.describe('none, log or otlp'),
		url: z
			.url({protocol: /^https?$/v})
			.optional()
			.describe('http or https URL of an OTLP receiver; needed for otlp'),
		sampleRatio: createRatioSchema('0.01'),
	})
	.refine(({export: target, url}) => target !== 'otlp' || url !== undefined, {
		path: ['url'],
		error: 'needed when export is otlp',
	});

/** Settings of one node. */
export const settingsSchema = z.strictObject({
	node: nodeSchema,
	platform: z.strictObject({
		url: z
			.url({protocol: /^https?$/v})
			.regex(/^[^:]+:\/\/[^\/?#]+$/v)
			.describe('http or https URL without a path'),
	}),
	members: z
		.strictObject({
			seeds: addressListSchema.describe('IP:PORT list, separated by commas'),
		})
		.prefault({}),
	log: z
		.strictObject({
			level: z
				.enum(['error', 'warn', 'info', 'debug'])
				.default('info')
				.describe('error, warn, info or debug'),
		})
		.prefault({}),
	trace: traceSchema.prefault({}),
	metrics: z
		.strictObject({
			statsd: addressSchema
				.optional()
				.describe('IP:PORT of a StatsD receiver (UDP)'),
			sampleRatio: createRatioSchema('0.1'),
		})
		.prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
