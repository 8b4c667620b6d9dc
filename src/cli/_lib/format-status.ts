import {z} from 'zod';

/** The part of a status answer that the command line reads. */
export const statusSchema = z.looseObject({
	version: z.number(),
	state: z.string(),
	dataCentres: z.array(
		z.looseObject({
			dataCentre: z.string(),
			version: z.number(),
			state: z.string().optional(),
			members: z.number().optional(),
			reason: z.string().optional(),
		}),
	),
});

export type Status = z.infer<typeof statusSchema>;

type DataCentre = Status['dataCentres'][number];

function formatDataCentre(dataCentre: DataCentre, version: number): string {
	const state =
		dataCentre.state ??
		(dataCentre.version >= version ? 'in-force' : 'accepted');
	const members =
		dataCentre.members === undefined ? '' : `, ${dataCentre.members} members`;
	const reason = dataCentre.reason ? `: ${dataCentre.reason}` : '';
	return `  ${dataCentre.dataCentre}: ${state}, runs ${dataCentre.version}${members}${reason}`;
}

/**
 * Formats the status of a version for a reader.
 *
 * @param status - the status
 * @returns one line, and one for each data centre
 */
export function formatStatus(status: Status): string {
	return [
		`version ${status.version}: ${status.state}`,
		...status.dataCentres.map((dataCentre) =>
			formatDataCentre(dataCentre, status.version),
		),
	].join('\n');
}
