import * as z from 'zod';

/** The fields of a status response that the command line reads. */
export const statusSchema = z.looseObject({
	version: z.number(),
	state: z.string(),
	dataCentres: z.array(
		z.looseObject({
			dataCentre: z.string(),
			state: z.string(),
			lowestVersion: z.number(),
			members: z.number(),
			expectedMembers: z.number(),
			laggards: z.array(z.string()),
			refusals: z.array(
				z.looseObject({
					name: z.string(),
					version: z.number(),
					problem: z.looseObject({place: z.string(), message: z.string()}),
				}),
			),
		}),
	),
});

export type Status = z.infer<typeof statusSchema>;

type DataCentre = Status['dataCentres'][number];

function formatDataCentre(
	dataCentre: DataCentre,
	version: number,
): readonly string[] {
	const {state, lowestVersion, members, expectedMembers} = dataCentre;
	const {laggards, refusals} = dataCentre;
	const isBehind = lowestVersion < version && laggards.length > 0;
	const behind = isBehind ? `, behind: ${laggards.join(', ')}` : '';
	return [
		`  ${dataCentre.dataCentre}: ${state}, ${members} of ${expectedMembers} members report, lowest version ${lowestVersion}${behind}`,
		...refusals.map(
			({name, version, problem}) =>
				`    ${name} refuses version ${version}: ${problem.place}: ${problem.message}`,
		),
	];
}

/**
 * Formats the status of a version as text.
 *
 * @param status - the status
 * @returns one line, and one or more for each data centre
 */
export function formatStatus(status: Status): string {
	return [
		`version ${status.version}: ${status.state}`,
		...status.dataCentres.flatMap((dataCentre) =>
			formatDataCentre(dataCentre, status.version),
		),
	].join('\n');
}
