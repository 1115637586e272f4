package wigeonpeer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the size limit of one encoded message.
const MaxFrameBytes = 16 << 20

const (
	frameHeaderBytes = 4
	// firstReadBytes bounds the memory that is allocated for a frame before its bytes arrive.
	firstReadBytes = 64 << 10
)

// errBadFrame is wrapped by errors about bytes that do not follow the protocol.
var errBadFrame = errors.New("malformed frame")

// encodeFrame returns the length and the encoded message in one slice.
func encodeFrame(message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, message)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes)) //nolint:gosec // bounded by MaxFrameBytes
	return frame, nil
}

// readFrame reads one message. The error wraps errBadFrame when the frame is oversized or cannot be decoded, and io.EOF
// when the stream ended before the first byte.
func readFrame(r io.Reader, message proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("read length: %w", err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrameBytes {
		return fmt.Errorf("%w: length %d exceeds the limit of %d", errBadFrame, size, MaxFrameBytes)
	}
	body, err := readBody(r, size)
	if err != nil {
		return fmt.Errorf("read message of %d bytes: %w", size, err)
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return nil
}

// readBody reads size bytes into a buffer that grows as they arrive, so that a false length allocates little memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	if size <= firstReadBytes {
		body := make([]byte, size)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := bytes.NewBuffer(make([]byte, 0, firstReadBytes))
	n, err := io.CopyN(body, r, int64(size))
	if err != nil && n < int64(size) {
		return nil, fmt.Errorf("%d bytes arrived: %w", n, err)
	}
	return body.Bytes(), nil
}
