import * as z from 'zod';
import {settingsSchema} from './settings.js';

/** A setting as described by its schema. */
export type SettingDescription = {
	readonly section: string;
	readonly key: string;
	/** Description of the allowed values. */
	readonly allowed: string;
	/** Default value; undefined when the setting is required or has none. */
	readonly default: string | undefined;
	readonly isRequired: boolean;
};

const objectSchema = z.object({
	properties: z.record(
		z.string(),
		z.looseObject({
			description: z.string().default(''),
			default: z.string().optional(),
		}),
	),
	required: z.array(z.string()).default([]),
});

const rootSchema = z.object({
	properties: z.record(z.string(), objectSchema),
});

/**
 * Lists all settings of a node, as described by the schema.
 *
 * @returns the settings in the order of the schema
 * @example
 * listSettings()[0].key; // 'name'
 */
export function listSettings(): readonly SettingDescription[] {
	const {properties: sections} = rootSchema.parse(
		z.toJSONSchema(settingsSchema, {io: 'input', unrepresentable: 'any'}),
	);
	return Object.entries(sections).flatMap(([section, {properties, required}]) =>
		Object.entries(properties).map(([key, property]) => ({
			section,
			key,
			allowed: property.description,
			default: property.default === '' ? undefined : property.default,
			isRequired: required.includes(key),
		})),
	);
}
