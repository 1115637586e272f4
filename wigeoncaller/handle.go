package wigeoncaller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/wigeonstep/wigeonstep"
)

const (
	ownPrefix  = "/wigeonstep/"
	keysPath   = ownPrefix + "keys"
	jobsPrefix = ownPrefix + "jobs/"
	// maxKeys bounds one call for issued keys.
	maxKeys = 1000
	// maxKeyLength is in bytes; keys stand on the log for a day.
	maxKeyLength = 200
	maxNameBytes = 128
)

func (s *Server) handle(ctx context.Context, c *callerConn, request *protocol.Request, body []byte, id wigeonstep.RequestID) wigeonstep.Response {
	path := string(request.Header.RequestURI())
	var response wigeonstep.Response
	if strings.HasPrefix(path, ownPrefix) {
		response = s.handleOwn(ctx, string(request.Header.Method()), path, request)
	} else {
		parsed, bad := s.parse(request, path, body, id)
		if bad != nil {
			s.refuse(c, id, bad)
			return *bad
		}
		return s.config.Handler.Serve(ctx, parsed)
	}
	if response.Refusal != nil && response.Refusal.Step == stepRead {
		s.refuse(c, id, &response)
	}
	return response
}

func (s *Server) parse(request *protocol.Request, path string, body []byte, id wigeonstep.RequestID) (*wigeonstep.Request, *wigeonstep.Response) {
	h := &request.Header
	parsed := &wigeonstep.Request{
		ID:          id,
		Method:      string(h.Method()),
		Path:        path,
		ContentType: string(h.ContentType()),
		Body:        body,
		Team:        wigeonstep.TeamName(h.Peek(wigeonstep.HeaderTeam)),
		Class:       wigeonstep.ClassName(h.Peek(wigeonstep.HeaderClass)),
		Key:         wigeonstep.Key(h.Peek(wigeonstep.HeaderIdempotencyKey)),
	}
	switch {
	case !strings.HasPrefix(path, "/"):
		return nil, refusal(http.StatusBadRequest, "the path of the request does not start with /")
	case parsed.Team == "" || len(parsed.Team) > maxNameBytes:
		return nil, refusal(http.StatusBadRequest, "the header "+wigeonstep.HeaderTeam+" is missing or too long")
	case parsed.Class == "" || len(parsed.Class) > maxNameBytes:
		return nil, refusal(http.StatusBadRequest, "the header "+wigeonstep.HeaderClass+" is missing or too long")
	case !validKey(parsed.Key):
		return nil, refusal(http.StatusBadRequest, "the header "+wigeonstep.HeaderIdempotencyKey+" is longer than 200 bytes or not printable ASCII")
	}
	if text := h.Peek(wigeonstep.HeaderDeadlineMS); len(text) > 0 {
		ms, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return nil, refusal(http.StatusBadRequest, "the header "+wigeonstep.HeaderDeadlineMS+" is not a whole number of milliseconds")
		}
		if ms <= 0 {
			return nil, refusal(http.StatusBadRequest, "the deadline is already past")
		}
		if ms > s.config.MaxDeadline.Milliseconds() {
			return nil, refusal(http.StatusBadRequest, "the deadline is longer than "+s.config.MaxDeadline.String())
		}
		parsed.Deadline = s.config.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return parsed, nil
}

func validKey(key wigeonstep.Key) bool {
	if len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] < '!' || key[i] > '~' {
			return false
		}
	}
	return true
}

func (s *Server) handleOwn(ctx context.Context, method, path string, request *protocol.Request) wigeonstep.Response {
	path, query, _ := strings.Cut(path, "?")
	if path == keysPath {
		if method != http.MethodPost {
			return BadInput(http.StatusMethodNotAllowed, "keys are issued by POST")
		}
		count := 1
		if text, ok := strings.CutPrefix(query, "count="); ok {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 || n > maxKeys {
				return BadInput(http.StatusBadRequest, "count is not a number from 1 to "+strconv.Itoa(maxKeys))
			}
			count = n
		}
		return s.config.Handler.IssueKeys(ctx, count)
	}
	job, ok := strings.CutPrefix(path, jobsPrefix)
	if !ok || job == "" || len(job) > maxNameBytes || strings.Contains(job, "/") {
		return BadInput(http.StatusNotFound, "there is nothing at this path")
	}
	switch method {
	case http.MethodGet:
		return s.config.Handler.Job(ctx, wigeonstep.JobID(job))
	case http.MethodDelete:
		return s.config.Handler.CancelJob(ctx, wigeonstep.JobID(job), string(request.Header.Peek(wigeonstep.HeaderTeam)))
	default:
		return BadInput(http.StatusMethodNotAllowed, "a job is shown by GET and cancelled by DELETE")
	}
}
