import {Buffer} from 'node:buffer';
import {Socket} from 'node:net';

/** A write to a socket, which is one system call unless its buffer is full. */
export type SocketWrite = {
	readonly localPort: number | undefined;
	readonly remotePort: number | undefined;
	readonly text: string;
};

type WrittenChunk = Uint8Array | string | {readonly chunk: Uint8Array | string};

function readText(data: WrittenChunk): string {
	const chunk = typeof data === 'object' && 'chunk' in data ? data.chunk : data;
	return typeof chunk === 'string'
		? chunk
		: Buffer.from(chunk).toString('latin1');
}

/**
 * Records all writes to sockets in this process.
 *
 * @param onWrite - called with each write
 * @returns a function that ends the recording
 */
export function recordWrites(
	onWrite: (write: SocketWrite) => void,
): () => void {
	const {prototype} = Socket;
	const {_write: write, _writev: writeAll} = prototype;
	const record = (
		{localPort, remotePort}: Socket,
		chunks: readonly WrittenChunk[],
	): void => {
		const text = chunks.map((chunk) => readText(chunk)).join('');
		onWrite({localPort, remotePort, text});
	};

	prototype._write = function (this: Socket, chunk: Uint8Array, ...rest) {
		record(this, [chunk]);
		write.call(this, chunk, ...rest);
	};

	if (writeAll) {
		prototype._writev = function (this: Socket, chunks, callback) {
			record(this, chunks);
			writeAll.call(this, chunks, callback);
		};
	}

	return () => {
		prototype._write = write;
		if (writeAll) {
			prototype._writev = writeAll;
		}
	};
}
