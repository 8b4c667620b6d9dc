import {z} from 'zod';
import {manifestSchema} from '../src/protocol/manifest.js';

/** A field of a manifest as its schema describes it. */
export type ManifestField = {
	/** Path of the field; `*` stands for a name, `[]` for an element. */
	readonly field: string;
	readonly allowed: string;
	/** The default as JSON, absent when the field must be given. */
	readonly default: string | undefined;
};

const schemaSchema = z.looseObject({
	type: z
		.enum(['integer', 'number', 'boolean', 'array', 'object', 'string'])
		.optional(),
	enum: z.array(z.string()).optional(),
	minimum: z.number().optional(),
	maximum: z.number().optional(),
	maxItems: z.number().optional(),
	maxLength: z.number().optional(),
	default: z.unknown().optional(),
	required: z.array(z.string()).optional(),
	properties: z.record(z.string(), z.unknown()).optional(),
	additionalProperties: z.unknown().optional(),
	items: z.unknown().optional(),
});

type Schema = z.infer<typeof schemaSchema>;

function asSchema(value: unknown): Schema {
	return schemaSchema.safeParse(value).data ?? {};
}

function formatRange(schema: Schema, unit: string): string {
	const {minimum, maximum} = schema;
	return minimum === undefined ? unit : `${unit} ${minimum} to ${maximum}`;
}

function formatAllowed(schema: Schema): string {
	if (schema.enum) {
		return schema.enum.join(', ');
	}

	switch (schema.type) {
		case 'integer': {
			return formatRange(schema, 'integer');
		}

		case 'number': {
			return formatRange(schema, 'number');
		}

		case 'boolean': {
			return 'true, false';
		}

		case 'array': {
			const limit =
				schema.maxItems === undefined ? '' : `at most ${schema.maxItems} `;
			return `list of ${limit}${formatAllowed(asSchema(schema.items))}`;
		}

		case 'object': {
			return schema.additionalProperties ? 'objects by name' : 'objects';
		}

		case 'string': {
			return schema.maxLength === undefined
				? 'text'
				: `text of at most ${schema.maxLength}`;
		}

		case undefined: {
			return 'any';
		}
	}
}

function listFields(path: string, schema: Schema): ManifestField[] {
	const items = asSchema(schema.items);
	const element = asSchema(schema.additionalProperties);
	const required = new Set(schema.required);
	const own = Object.entries(schema.properties ?? {}).flatMap(
		([key, value]) => {
			const property = asSchema(value);
			const field = path ? `${path}.${key}` : key;
			const fallback =
				property.default === undefined
					? undefined
					: JSON.stringify(property.default);
			return [
				{
					field,
					allowed: formatAllowed(property),
					default: required.has(key) ? undefined : (fallback ?? 'none'),
				},
				...listFields(field, property),
			];
		},
	);
	return [
		...own,
		...(items.properties ? listFields(`${path}[]`, items) : []),
		...(element.properties ? listFields(`${path}.*`, element) : []),
	];
}

/**
 * Lists every field of a manifest, from its schema.
 *
 * @returns the fields, each object before what is in it
 * @example
 * listManifestFields()[0].field; // 'team'
 */
export function listManifestFields(): readonly ManifestField[] {
	return listFields(
		'',
		asSchema(
			z.toJSONSchema(manifestSchema, {io: 'input', unrepresentable: 'any'}),
		),
	);
}
