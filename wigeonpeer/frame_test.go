package wigeonpeer

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against truncated, oversized or undecodable frames that are accepted.
func TestReadFrameErrors(t *testing.T) {
	for _, test := range []struct {
		name, bytes, want string
		bad               bool
	}{
		{"nothing", "", "read length: EOF", false},
		{"half a length", "\x00\x00", "read length: unexpected EOF", false},
		{"half a message", "\x00\x00\x00\x05ab", "read message of 5 bytes: unexpected EOF", false},
		{"half a long message", "\x00\x10\x00\x00ab", "read message of 1048576 bytes: 2 bytes arrived: EOF", false},
		{"too long", "\x01\x00\x00\x01", "malformed frame: length 16777217 exceeds the limit of 16777216", true},
		{"no message", "\x00\x00\x00\x02\xff\xff", "malformed frame: .*", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := readFrame(strings.NewReader(test.bytes), &wigeonwire.PeerRequest{})
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			if test.bad {
				qt.Assert(t, err, qt.ErrorIs, errBadFrame)
			} else {
				qt.Assert(t, err, qt.Not(qt.ErrorIs), errBadFrame)
			}
		})
	}
}

// Guards against memory that is allocated for a false length before the bytes arrive.
func TestReadFrameMemory(t *testing.T) {
	frame := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		qt.Assert(t, readFrame(bytes.NewReader(frame), &wigeonwire.PeerRequest{}), qt.IsNotNil)
	}
	runtime.ReadMemStats(&after)
	qt.Assert(t, after.TotalAlloc-before.TotalAlloc < 100*2*firstReadBytes, qt.IsTrue)
}

// Guards against a decoder that panics, reads beyond its frame, or accepts a message that cannot be encoded again.
func FuzzReadFrame(f *testing.F) {
	frame, err := encodeFrame(&wigeonwire.PeerRequest{FromSession: 7, Body: &wigeonwire.PeerRequest_AnswerQuery{
		AnswerQuery: &wigeonwire.AnswerQuery{Key: "k1"},
	}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(append(data, "next"...))
		request := &wigeonwire.PeerRequest{}
		if readFrame(reader, request) != nil {
			return
		}
		size := int(binary.BigEndian.Uint32(data))
		if size+frameHeaderBytes > len(data) {
			return // the frame includes bytes that the test appended
		}
		rest, _ := io.ReadAll(reader)
		qt.Assert(t, len(rest), qt.Equals, len(data)-frameHeaderBytes-size+len("next"))
		again, err := encodeFrame(request)
		qt.Assert(t, err, qt.IsNil)
		decoded := &wigeonwire.PeerRequest{}
		qt.Assert(t, readFrame(bytes.NewReader(again), decoded), qt.IsNil)
		qt.Assert(t, proto.Equal(request, decoded), qt.IsTrue)
	})
}
