package wigeoningress

import (
	"flag"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Limits bounds what one client may send on a listener. The zero value of a field stands for its default.
type Limits struct {
	// HeadBytes bounds a head: the request line and the header fields, without the empty line at the end. RequestLineBytes
	// bounds its first line, Fields the number of its fields, EmptyLines the empty lines before it.
	HeadBytes, RequestLineBytes, Fields, EmptyLines int
	// BodyBytes bounds the content of a body.
	BodyBytes int
	// ChunkLineBytes bounds the size line of a chunk with its extensions, Chunks the number of chunks; by default there may be
	// as many as the body may have bytes. FramingRatio bounds the bytes of framing for each byte of content.
	ChunkLineBytes, Chunks, FramingRatio int
	// TrailerBytes bounds the trailers of a chunked body.
	TrailerBytes int
	// PipelinedBytes bounds what is read of the requests behind the one that is being handled.
	PipelinedBytes int
	// HeadTimeout bounds the time from the first byte of a head to its last, IdleTimeout the time without a request and
	// WriteTimeout the time for which a client may leave a response unread.
	HeadTimeout, IdleTimeout, WriteTimeout time.Duration
	// BodyGrace is the time that any body may take. After it, the content must have arrived at BodyRate bytes a second on
	// average since the end of the grace.
	BodyGrace time.Duration
	BodyRate  int
	// RequestTimeout bounds the time from the first byte of a request to its last. A client may ask for less by the field with the name
	// DeadlineField, in lower case, which holds a number of milliseconds; empty for none.
	RequestTimeout time.Duration
	DeadlineField  string
	// Connections bounds the connections, AddressConnections those from one IP address.
	Connections, AddressConnections int
	// AllowHTTP10 accepts requests of HTTP/1.0, which have no body in chunks.
	AllowHTTP10 bool
}

// Defaults of Limits.
const (
	DefaultHeadBytes      = 16 << 10
	DefaultFields         = 1024
	DefaultEmptyLines     = 4
	DefaultBodyBytes      = 1 << 20
	DefaultChunkLineBytes = 256
	// DefaultFramingRatio admits a body in chunks of one byte, each of which has five bytes of framing.
	DefaultFramingRatio   = 8
	DefaultTrailerBytes   = 4 << 10
	DefaultPipelinedBytes = 4 << 10
	DefaultHeadTimeout    = 3 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultBodyGrace      = 5 * time.Second
	DefaultBodyRate       = 1000
	DefaultRequestTimeout = 15 * time.Second
)

const (
	// minReadBytes is the least that a connection reads at once, so that a small limit doesn't cost a system call for each byte.
	minReadBytes = 512
	// maxHeadBytes bounds the limit on heads that a configuration may set. It is below the limit of the HTTP library.
	maxHeadBytes = 256 << 10
	// framingAllowance is the framing that any body may have beside FramingRatio.
	framingAllowance = 4 << 10
	// timeSlack is added to the time limits of a configuration, since a client may use them up to the last millisecond and its
	// bytes take some time to arrive.
	timeSlack = 500 * time.Millisecond
)

// setDefault sets a field that has no positive value.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// withDefaults returns the limits with the defaults of the fields that are not set. connections is the default of Connections.
func (l Limits) withDefaults(connections int) Limits {
	setDefault(&l.HeadBytes, DefaultHeadBytes)
	setDefault(&l.Fields, DefaultFields)
	setDefault(&l.EmptyLines, DefaultEmptyLines)
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.ChunkLineBytes, DefaultChunkLineBytes)
	setDefault(&l.FramingRatio, DefaultFramingRatio)
	setDefault(&l.TrailerBytes, DefaultTrailerBytes)
	setDefault(&l.PipelinedBytes, DefaultPipelinedBytes)
	setDefault(&l.HeadTimeout, DefaultHeadTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.BodyGrace, DefaultBodyGrace)
	setDefault(&l.BodyRate, DefaultBodyRate)
	setDefault(&l.RequestTimeout, DefaultRequestTimeout)
	setDefault(&l.Connections, connections)
	// One address may be a load balancer, which brings nearly all of the connections.
	setDefault(&l.AddressConnections, max(1, l.Connections*3/4))
	l.HeadBytes = min(l.HeadBytes, maxHeadBytes)
	l.PipelinedBytes = max(l.PipelinedBytes, minReadBytes)
	return l
}

// with returns the limits with those that a configuration sets. maxBody bounds the body whatever the configuration says.
func (l Limits) with(c wigeonstep.ClientLimits, maxBody int) *Limits {
	if c.HeaderBytes > 0 {
		l.HeadBytes = min(c.HeaderBytes, maxHeadBytes)
	}
	if c.BodyBytes > 0 {
		l.BodyBytes = c.BodyBytes
	}
	if c.HeaderTimeoutMS > 0 {
		l.HeadTimeout = milliseconds(c.HeaderTimeoutMS) + timeSlack
	}
	if c.IdleTimeoutMS > 0 {
		l.IdleTimeout = milliseconds(c.IdleTimeoutMS) + timeSlack
	}
	l.BodyBytes = min(l.BodyBytes, maxBody)
	if l.RequestLineBytes <= 0 {
		l.RequestLineBytes = l.HeadBytes
	}
	if l.Chunks <= 0 {
		l.Chunks = l.BodyBytes
	}
	return &l
}

// CheckLimits returns the limits of a listener for readiness checks and metrics, whose requests have no body. A check may be a
// request of HTTP/1.0.
func CheckLimits() Limits {
	return Limits{
		HeadBytes: checkHeadBytes, BodyBytes: 1, Connections: checkConnections, AddressConnections: checkConnections, AllowHTTP10: true,
	}
}

const (
	checkHeadBytes   = 8 << 10
	checkConnections = 64
)

// maxTimeout bounds a time limit of a configuration, so that no sum with it overflows.
const maxTimeout = time.Hour

func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, maxTimeout.Milliseconds())) * time.Millisecond
}

// AddFlags adds a flag for each limit to the set.
func (l *Limits) AddFlags(flags *flag.FlagSet) {
	flags.IntVar(&l.HeadBytes, "max-head-bytes", DefaultHeadBytes, "bytes of a request's head; the configuration's max_header_bytes holds where it is set")
	flags.IntVar(&l.RequestLineBytes, "max-request-line-bytes", 0, "bytes of a request line; 0 for those of a head")
	flags.IntVar(&l.Fields, "max-fields", DefaultFields, "fields of a head")
	flags.IntVar(&l.EmptyLines, "max-empty-lines", DefaultEmptyLines, "empty lines before a request")
	flags.IntVar(&l.BodyBytes, "max-body-bytes", DefaultBodyBytes, "bytes of a body; the configuration's max_body_bytes holds where it is set")
	flags.IntVar(&l.ChunkLineBytes, "max-chunk-line-bytes", DefaultChunkLineBytes, "bytes of a chunk's size line with its extensions")
	flags.IntVar(&l.Chunks, "max-chunks", 0, "chunks of a body; 0 for as many as it may have bytes")
	flags.IntVar(&l.FramingRatio, "max-framing-ratio", DefaultFramingRatio, "bytes of framing for each byte of a chunked body")
	flags.IntVar(&l.TrailerBytes, "max-trailer-bytes", DefaultTrailerBytes, "bytes of the trailers of a chunked body")
	flags.IntVar(&l.PipelinedBytes, "max-pipelined-bytes", DefaultPipelinedBytes, "bytes that are read of the requests behind the one in progress")
	flags.DurationVar(&l.HeadTimeout, "head-timeout", DefaultHeadTimeout, "time for a head; the configuration's header_timeout_ms holds where it is set")
	flags.DurationVar(&l.IdleTimeout, "idle-timeout", DefaultIdleTimeout, "time for which a connection may be idle; the configuration's idle_timeout_ms holds where it is set")
	flags.DurationVar(&l.WriteTimeout, "write-timeout", DefaultWriteTimeout, "time for which a client may leave a response unread")
	flags.DurationVar(&l.BodyGrace, "body-grace", DefaultBodyGrace, "time after which a body must arrive at the least rate")
	flags.IntVar(&l.BodyRate, "min-body-rate", DefaultBodyRate, "least bytes a second of a body after its grace")
	flags.DurationVar(&l.RequestTimeout, "request-timeout", DefaultRequestTimeout, "time for a request from its first byte to its last; the client's deadline holds where it is shorter")
	flags.IntVar(&l.Connections, "max-connections", 0, "connections of clients; 0 for a number that follows from limits.max_fds and limits.memory_mb")
	flags.IntVar(&l.AddressConnections, "max-address-connections", 0, "connections of clients from one IP address; 0 for three quarters of all")
}
