/**
 * Manifests of Costline Hosting that the demonstration submits.
 */

/** Creates the manifest of a revision; `replaces` is the one before. */
export function createCostlineManifest(replaces: number, deadlineMs = 2000) {
	return {
		team: 'kitchens',
		replaces,
		services: {
			pricebook: {shedding: 'not-run'},
			payables: {shedding: 'not-run'},
			pantry: {shedding: 'not-run'},
		},
		policies: {
			lookup: {repeatable: true, deadlineMs},
			post: {repeatable: false, deadlineMs},
		},
		routes: [
			{
				name: 'prices',
				path: '/kitchens/prices',
				methods: ['GET'],
				service: 'pricebook',
				policy: 'lookup',
			},
			{
				name: 'invoices',
				path: '/kitchens/invoices',
				methods: ['POST'],
				service: 'payables',
				policy: 'post',
			},
			{
				name: 'stock',
				path: '/kitchens/stock',
				service: 'pantry',
				policy: 'post',
			},
		],
	};
}
