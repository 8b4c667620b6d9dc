/**
 * Schema and types of a node's settings, as read from an INI file.
 */
import {z} from 'zod';

const addressSchema = z
	.string()
	.regex(/^[\d.]+:\d{1,5}$/v, 'expected IP:PORT, for example 10.0.0.7:8080');

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

/** Settings of one node. */
export const settingsSchema = z.strictObject({
	node: z.strictObject({
		name: z.string().regex(/^[\w.\-]{1,64}$/v),
		dataCentre: z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v),
		callers: addressSchema,
		peers: addressSchema,
		administration: addressSchema,
	}),
	platform: z.strictObject({url: z.url({protocol: /^https?$/v})}),
	members: z.strictObject({seeds: addressListSchema}).default({seeds: []}),
	log: z
		.strictObject({
			level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
		})
		.default({level: 'info'}),
	trace: z
		.strictObject({
			export: z.enum(['none', 'log', 'otlp']).default('none'),
			url: z.url().optional(),
			sampleRatio: z.coerce.number().min(0).max(1).default(0.01),
		})
		.default({export: 'none', sampleRatio: 0.01}),
	metrics: z.strictObject({statsd: addressSchema.optional()}).default({}),
});

export type Settings = z.infer<typeof settingsSchema>;
