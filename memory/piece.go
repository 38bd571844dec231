package memory

import "sync"

// pieceSizes are the sizes in bytes of the pieces that content is kept in, in ascending order.
var pieceSizes = [...]int{1 << 10, 4 << 10, 16 << 10, maxPieceBytes}

// maxPieceBytes is the size of the largest pieces.
const maxPieceBytes = 64 << 10

// pieces holds pieces that can be used again, by the index of their size. Memory that is used
// again doesn't wait for the garbage collector.
var pieces [len(pieceSizes)]sync.Pool

// sizeIndex returns the index of the smallest piece that holds n bytes, or of the largest one.
func sizeIndex(n int64) int {
	for i, size := range pieceSizes {
		if n <= int64(size) {
			return i
		}
	}
	return len(pieceSizes) - 1
}

// newPiece returns an empty piece with the capacity of the given index.
func newPiece(index int) []byte {
	if p, ok := pieces[index].Get().(*[]byte); ok {
		return (*p)[:0]
	}
	return make([]byte, 0, pieceSizes[index])
}

// recycle makes pieces available for other content.
func recycle(all [][]byte) {
	for _, p := range all {
		pieces[sizeIndex(int64(cap(p)))].Put(&p)
	}
}

// roomFor returns the size of the pieces that hold n bytes.
func roomFor(n int64) int64 {
	whole := n / maxPieceBytes * maxPieceBytes
	if rest := n - whole; rest > 0 {
		return whole + int64(pieceSizes[sizeIndex(rest)])
	}
	return whole
}
