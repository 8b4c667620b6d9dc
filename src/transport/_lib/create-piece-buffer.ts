import {Buffer} from 'node:buffer';

/** Bytes of a body that arrive in pieces of any size. */
export type PieceBuffer = {
	/** Adds a piece, which must not be changed afterwards. */
	add(piece: Uint8Array): void;
	/** Returns the number of bytes held. */
	readSize(): number;
	/** Returns a copy of the first bytes; fewer if fewer are held. */
	copyFirst(maxBytes: number): Uint8Array;
	/** Removes and returns all bytes. */
	take(): Uint8Array;
};

/** Length from which a piece is kept instead of copied; the buffer object of a shorter one may take more memory than its bytes. */
const minKeptPieceBytes = 1024;

/** First and maximum length of a block into which short pieces are copied. */
const minBlockBytes = 256;
const maxBlockBytes = 16_384;

/**
 * Creates an empty buffer for a body.
 *
 * Each piece that Node.js reads is an object of about 200 bytes, however short
 * the piece is. Short pieces are therefore copied into blocks, so that memory use
 * follows the number of bytes and not the number of pieces.
 *
 * @returns the buffer
 */
export function createPieceBuffer(): PieceBuffer {
	let blocks: Uint8Array[] = [];
	let block: Uint8Array | undefined;
	let blockSize = 0;
	let size = 0;

	/** Ends the block that is being filled; an almost empty one is not kept at its full length. */
	function closeBlock(): void {
		if (!block) {
			return;
		}

		const filled = block.subarray(0, blockSize);
		if (2 * blockSize < block.length) {
			const copy = Buffer.allocUnsafeSlow(blockSize);
			copy.set(filled);
			blocks.push(copy);
		} else {
			blocks.push(filled);
		}

		block = undefined;
		blockSize = 0;
	}

	function copyIntoBlock(piece: Uint8Array): void {
		if (!block || blockSize + piece.length > block.length) {
			const length = Math.min(2 * (block?.length ?? 0), maxBlockBytes);
			closeBlock();
			block = Buffer.allocUnsafeSlow(
				Math.max(length, piece.length, minBlockBytes),
			);
		}

		block.set(piece, blockSize);
		blockSize += piece.length;
	}

	function concatenate(): Uint8Array {
		closeBlock();
		return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
	}

	return {
		add(piece) {
			if (piece.length >= minKeptPieceBytes || size === 0) {
				closeBlock();
				blocks.push(piece);
			} else {
				copyIntoBlock(piece);
			}

			size += piece.length;
		},
		readSize: () => size,
		copyFirst(maxBytes) {
			const all = concatenate();
			blocks = [all];
			return Uint8Array.prototype.slice.call(all, 0, maxBytes);
		},
		take() {
			const all = concatenate();
			blocks = [];
			size = 0;
			return all;
		},
	};
}
