/**
 * A stand-in for an application server, as a process of its own: it runs
 * requests for a fixed time, reports its load, and can be told by its parent to
 * answer a share of the requests in another way.
 */
import {createServer} from 'node:net';
import process from 'node:process';

const {host, port, id, workMs} = JSON.parse(process.argv[2]);
const slots = 6;
const headEnd = '\r\n\r\n';
let trouble = {kind: 'none', share: 0};
let running = 0;

process.on('message', (message) => {
	trouble = message;
});
process.on('disconnect', () => {
	process.exit();
});

function readHeader(head, name) {
	const line = head
		.split('\r\n')
		.find((text) => text.toLowerCase().startsWith(`${name}:`));
	return line?.slice(name.length + 1).trim();
}

function formatHead(requestId, lines) {
	return [
		'HTTP/1.1 200 OK',
		...(requestId === undefined
			? []
			: [
					`X-Boragehitch-Request-Id: ${requestId}`,
					'X-Boragehitch-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1',
				]),
		`X-Boragehitch-Instance-Id: ${id}`,
		`X-Boragehitch-Server-Load: ${running},0,${slots}`,
		...lines,
		'\r\n',
	].join('\r\n');
}

/** Sends a body in chunks of one byte until the caller closes. */
function sendWithoutEnd(socket, requestId) {
	socket.write(formatHead(requestId, ['Transfer-Encoding: chunked']));
	const chunks = '1\r\nb\r\n'.repeat(2000);
	function pump() {
		if (socket.destroyed) {
			return;
		}

		if (socket.write(chunks, 'latin1')) {
			setImmediate(pump);
		} else {
			socket.once('drain', pump);
		}
	}

	pump();
}

function answer(socket, requestId) {
	const isInTrouble =
		trouble.kind === 'endless' &&
		requestId !== undefined &&
		Math.random() < trouble.share;
	if (isInTrouble) {
		sendWithoutEnd(socket, requestId);
	} else {
		socket.write(`${formatHead(requestId, ['Content-Length: 2'])}ok`);
	}
}

const server = createServer((socket) => {
	let text = '';
	let remaining = 0;
	let queue = Promise.resolve();
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('data', (data) => {
		const skipped = Math.min(remaining, data.length);
		remaining -= skipped;
		text += data.subarray(skipped).toString('latin1');
		for (;;) {
			const end = text.indexOf(headEnd);
			if (end === -1 || remaining > 0) {
				return;
			}

			const head = text.slice(0, end);
			const body = text.slice(end + headEnd.length);
			const length = Number(readHeader(head, 'content-length') ?? 0);
			remaining = Math.max(0, length - body.length);
			text = body.slice(length);
			if (trouble.kind === 'early' && remaining > 0) {
				// The answer goes out at once; the rest of the body is read later.
				socket.pause();
				setTimeout(() => {
					socket.resume();
				}, trouble.pauseMs);
			}

			const ended = waitForBody(socket, () => remaining === 0);
			queue = queue.then(async () => run(socket, head, ended));
		}
	});
});

/** Resolves once a body has come. */
async function waitForBody(socket, hasEnded) {
	while (!hasEnded() && !socket.destroyed) {
		await new Promise((resolve) => {
			setTimeout(resolve, 5);
		});
	}
}

function readWorkMs(requestId) {
	return requestId === undefined || trouble.kind === 'early' ? 1 : workMs;
}

async function run(socket, head, ended) {
	const requestId = readHeader(head, 'x-boragehitch-request-id');
	const expected = readHeader(head, 'x-boragehitch-expected-instance');
	if (expected !== undefined && expected !== id) {
		socket.write(
			`HTTP/1.1 421 Misdirected\r\nX-Boragehitch-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`,
		);
		return;
	}

	if (requestId !== undefined) {
		process.send(requestId);
	}

	if (trouble.kind !== 'early') {
		await ended;
	}

	running++;
	await new Promise((resolve) => {
		setTimeout(resolve, readWorkMs(requestId));
	});
	running--;
	if (!socket.destroyed) {
		answer(socket, requestId);
	}
}

server.listen(port, host, () => {
	process.send('listening');
});
