/**
 * A configuration as the platform's operator writes it: a service with a route that may be repeated, one that may not, and one for uploads.
 */
export const platformDocument = {
	version: '00000007',
	resources: [
		{
			resource_type: 'routes',
			metadata: {name: 'prices'},
			spec: {
				host: 'prices.example',
				path_prefix: '/prices/',
				kind: 'idempotent',
				timeout_s: 1,
				target_latency_s: 0.2,
				service: 'pricebook',
				max_attempts: 2,
			},
		},
		{
			resource_type: 'routes',
			metadata: {name: 'orders'},
			spec: {
				host: 'prices.example',
				path_prefix: '/orders/',
				kind: 'non_idempotent',
				timeout_s: 9,
				target_latency_s: 0.2,
				service: 'pricebook',
				max_attempts: 1,
			},
		},
		{
			resource_type: 'routes',
			metadata: {name: 'photos'},
			spec: {
				host: 'prices.example',
				path_prefix: '/photos/',
				kind: 'upload',
				timeout_s: 2,
				target_latency_s: 0.5,
				service: 'pricebook',
				max_attempts: 2,
			},
		},
		{
			resource_type: 'services',
			metadata: {name: 'pricebook'},
			spec: {health_path: '/health', max_connections: 10},
		},
	],
};

/**
 * The same configuration, with two attempts at each request.
 */
export const twoAttemptsDocument = {
	...platformDocument,
	resources: platformDocument.resources.map((resource) => ({
		...resource,
		spec:
			resource.resource_type === 'routes'
				? {...resource.spec, max_attempts: 2}
				: resource.spec,
	})),
};
