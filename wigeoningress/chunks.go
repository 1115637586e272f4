package wigeoningress

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	chunkTrailer
	chunkTrailerLF
	chunkDone
)

// chunkDecoder decodes a chunked body while it arrives. It keeps none of its bytes. The zero value is at the start of a body.
type chunkDecoder struct {
	state chunkState
	// left is the size of the chunk in its size line, and then the number of its bytes that are still to come.
	left int
	// line counts the bytes of a size line or of a line of the trailers.
	line   int
	digits int
	// content, framing and trailer count the bytes of each kind.
	content, framing, trailer int
	chunks                    int
}

// decode decodes the next bytes of a body. It moves the content among them to the front of b and returns it, with the number of
// bytes that belong to the body: all of them until the body is done.
func (d *chunkDecoder) decode(b []byte, l *Limits) (content []byte, consumed int, reason Reason) {
	kept := 0
	for i := 0; i < len(b); {
		if d.state == chunkDone {
			return b[:kept], i, None
		}
		if d.state == chunkData {
			n := min(d.left, len(b)-i)
			kept += copy(b[kept:], b[i:i+n])
			i += n
			d.left -= n
			d.content += n
			if d.left == 0 {
				d.state = chunkDataCR
			}
			continue
		}
		if reason := d.addFraming(b[i], l); reason != None {
			return nil, i, reason
		}
		i++
	}
	return b[:kept], len(b), None
}

// addFraming takes a byte that isn't content.
func (d *chunkDecoder) addFraming(c byte, l *Limits) Reason {
	d.framing++
	if d.framing-d.trailer > framingAllowance+l.FramingRatio*d.content {
		return TooMuchFraming
	}
	switch d.state {
	case chunkSize, chunkExtension, chunkSizeLF:
		return d.addSizeLine(c, l)
	case chunkDataCR:
		d.state = chunkDataLF
		return require(c == '\r')
	case chunkDataLF:
		d.state = chunkSize
		return require(c == '\n')
	default:
		return d.addTrailer(c, l)
	}
}

func require(ok bool) Reason {
	if ok {
		return None
	}
	return MalformedChunk
}

// addSizeLine takes a byte of a size line: hexadecimal digits, and extensions behind a semicolon.
func (d *chunkDecoder) addSizeLine(c byte, l *Limits) Reason {
	d.line++
	if d.line > l.ChunkLineBytes {
		return ChunkLineTooLong
	}
	if d.state == chunkSizeLF {
		return d.endSizeLine(c, l)
	}
	digit, isDigit := hexDigit(c)
	switch {
	case c == '\r' && d.digits > 0:
		d.state = chunkSizeLF
	case d.state == chunkExtension:
		return require(byteClasses[c]&classText != 0)
	case c == ';' && d.digits > 0:
		d.state = chunkExtension
	case isDigit:
		d.digits++
		// The size can't overflow, since it is checked against the limit after each digit.
		d.left = 16*d.left + digit
		if d.left > l.BodyBytes-d.content {
			return BodyTooLarge
		}
	default:
		return MalformedChunk
	}
	return None
}

func (d *chunkDecoder) endSizeLine(c byte, l *Limits) Reason {
	if c != '\n' {
		return MalformedChunk
	}
	d.line, d.digits = 0, 0
	if d.left == 0 {
		d.state = chunkTrailer
		return None
	}
	d.state = chunkData
	d.chunks++
	if d.chunks > l.Chunks {
		return TooManyChunks
	}
	return None
}

// addTrailer takes a byte of the trailers, which are discarded, up to the empty line at their end.
func (d *chunkDecoder) addTrailer(c byte, l *Limits) Reason {
	d.trailer++
	if d.trailer > l.TrailerBytes+2 {
		return TrailersTooLarge
	}
	if d.state == chunkTrailerLF {
		if c != '\n' {
			return MalformedChunk
		}
		if d.line == 0 {
			d.state = chunkDone
		} else {
			d.state, d.line = chunkTrailer, 0
		}
		return None
	}
	if c == '\r' {
		d.state = chunkTrailerLF
		return None
	}
	d.line++
	return require(byteClasses[c]&classText != 0)
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}
