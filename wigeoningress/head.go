package wigeoningress

import (
	"bytes"
	"strconv"
	"time"
)

// span is a part of a head, from its first byte to the one behind its last.
type span struct{ from, to int }

// maxCuts is the number of fields that the library doesn't get: Transfer-Encoding, Expect and Trailer, each at most once.
const maxCuts = 3

// headScanner finds the end of a head while it arrives, checks its lines, and notes what frames the body. The zero value is at
// the start of a head.
type headScanner struct {
	// start is the offset of the request line, behind the empty lines, and line that of the line that is being read.
	start, line int
	// searched is the offset up to which the end of the line has been looked for.
	searched int
	// end is the offset behind the empty line at the end; 0 before it is found.
	end    int
	empty  int
	fields int
	// length is the announced length of the body; hasLength is set if the head has one.
	length             int
	hasLength, chunked bool
	// bodyless is set if the method takes no body.
	bodyless        bool
	expectsContinue bool
	hasHost         bool
	hasTrailer      bool
	http10          bool
	// deadline is the shortest time that the client asks for; 0 without any.
	deadline time.Duration
	cuts     [maxCuts]span
	cutCount int
}

// scan reads on in b, which holds all bytes since the start. It returns None with end 0 if the head goes on behind b.
func (s *headScanner) scan(b []byte, l *Limits) Reason {
	for s.end == 0 {
		n := bytes.IndexByte(b[s.searched:], '\n')
		if n < 0 {
			s.searched = len(b)
			return s.checkSize(len(b), l)
		}
		next := s.searched + n + 1
		if next-2 < s.line || b[next-2] != '\r' {
			return MalformedHead
		}
		line := span{s.line, next}
		s.line, s.searched = next, next
		if reason := s.addLine(b, line, l); reason != None {
			return reason
		}
	}
	return None
}

// checkSize checks the part of a head that ends at the offset to, in the middle of a line.
func (s *headScanner) checkSize(to int, l *Limits) Reason {
	switch {
	case s.line == s.start && to-s.start > l.RequestLineBytes+1:
		return RequestLineTooLong
	case to-s.start > l.HeadBytes+1:
		return HeadTooLarge
	}
	return None
}

// addLine takes a complete line with its CR and LF.
func (s *headScanner) addLine(b []byte, line span, l *Limits) Reason {
	text := b[line.from : line.to-2]
	if line.from == s.start {
		if len(text) == 0 {
			s.start = line.to
			s.empty++
			if s.empty > l.EmptyLines {
				return TooManyEmptyLines
			}
			return None
		}
		if len(text) > l.RequestLineBytes {
			return RequestLineTooLong
		}
		if line.to-s.start > l.HeadBytes {
			return HeadTooLarge
		}
		return s.addRequestLine(text, l)
	}
	if len(text) == 0 {
		s.end = line.to
		if s.hasLength && s.length > 0 && s.bodyless || s.chunked && (s.bodyless || s.http10) {
			return UnexpectedBody
		}
		return None
	}
	if line.to-s.start > l.HeadBytes {
		return HeadTooLarge
	}
	s.fields++
	if s.fields > l.Fields {
		return TooManyFields
	}
	return s.addField(text, line, l)
}

// addRequestLine checks that the line has the form METHOD TARGET HTTP/1.1.
func (s *headScanner) addRequestLine(text []byte, l *Limits) Reason {
	method, rest, _ := bytes.Cut(text, []byte{' '})
	target, version, found := bytes.Cut(rest, []byte{' '})
	if !found || !isToken(method) || len(target) == 0 || !isText(target) || bytes.IndexByte(target, '\t') >= 0 {
		return MalformedHead
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		s.http10 = true
		if !l.AllowHTTP10 {
			return WrongVersion
		}
	default:
		if bytes.HasPrefix(version, []byte("HTTP/")) && bytes.IndexByte(version, ' ') < 0 {
			return WrongVersion
		}
		return MalformedHead
	}
	switch string(method) {
	case "GET", "HEAD", "DELETE", "TRACE", "CONNECT":
		s.bodyless = true
	}
	return None
}

// addField checks a field and notes those that frame the body. A line that continues the one before begins with a blank, which
// no name has.
func (s *headScanner) addField(text []byte, line span, l *Limits) Reason {
	name, value, found := bytes.Cut(text, []byte{':'})
	if !found || !isToken(name) || !isText(value) {
		return MalformedHead
	}
	switch name[0] | 0x20 {
	case 'c':
		if isName(name, "content-length") {
			return s.addLength(bytes.Trim(value, " \t"))
		}
	case 't':
		switch {
		case isName(name, "transfer-encoding"):
			if s.chunked || s.hasLength {
				return AmbiguousLength
			}
			if !isName(bytes.Trim(value, " \t"), "chunked") {
				return UnknownCoding
			}
			s.chunked = true
			s.cut(line)
		case isName(name, "trailer"):
			if s.hasTrailer {
				return MalformedHead
			}
			s.hasTrailer = true
			s.cut(line)
		}
	case 'e':
		if isName(name, "expect") {
			if s.expectsContinue || !isName(bytes.Trim(value, " \t"), "100-continue") {
				return MalformedHead
			}
			s.expectsContinue = true
			s.cut(line)
		}
	case 'h':
		if isName(name, "host") {
			if s.hasHost {
				return MalformedHead
			}
			s.hasHost = true
		}
	default:
		if l.DeadlineField != "" && isName(name, l.DeadlineField) {
			s.addDeadline(bytes.Trim(value, " \t"))
		}
	}
	return None
}

// addDeadline takes the value of the deadline field. One that is no positive number is ignored.
func (s *headScanner) addDeadline(value []byte) {
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || ms <= 0 {
		return
	}
	if d := milliseconds(ms); s.deadline == 0 || d < s.deadline {
		s.deadline = d
	}
}

// maxLengthDigits is the number of digits of a length that fits into an int.
const maxLengthDigits = 18

func (s *headScanner) addLength(value []byte) Reason {
	if s.hasLength || s.chunked || len(value) == 0 {
		return AmbiguousLength
	}
	n := 0
	for i, c := range value {
		if c < '0' || c > '9' {
			return AmbiguousLength
		}
		if i >= maxLengthDigits {
			return BodyTooLarge
		}
		n = 10*n + int(c-'0')
	}
	s.length, s.hasLength = n, true
	return None
}

func (s *headScanner) cut(line span) {
	s.cuts[s.cutCount] = line
	s.cutCount++
}

// appendHead appends the head in b without the fields that are cut, and with the given lines before the empty line.
func (s *headScanner) appendHead(dst, b []byte, lines ...string) []byte {
	from := s.start
	for _, c := range s.cuts[:s.cutCount] {
		dst = append(dst, b[from:c.from]...)
		from = c.to
	}
	dst = append(dst, b[from:s.end-2]...)
	for _, l := range lines {
		dst = append(dst, l...)
	}
	return append(dst, "\r\n"...)
}

// isName reports whether b is the name, which is in lower case, in any case.
func isName(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		if c != name[i] {
			return false
		}
	}
	return true
}

// Classes of bytes in a head.
const (
	classToken = 1 << iota
	classText
)

// byteClasses holds the classes of each byte: those of a token (RFC 9110, 5.6.2) and those of a field's value.
var byteClasses = func() (classes [256]byte) {
	for c := range classes {
		if c == '\t' || c >= ' ' && c != 0x7f {
			classes[c] |= classText
		}
		if c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0 {
			classes[c] |= classToken
		}
	}
	return classes
}()

func isToken(b []byte) bool { return len(b) > 0 && isClass(b, classToken) }

func isText(b []byte) bool { return isClass(b, classText) }

func isClass(b []byte, class byte) bool {
	for _, c := range b {
		if byteClasses[c]&class == 0 {
			return false
		}
	}
	return true
}
