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
	apiPrefix  = "/wigeonstep/"
	keysPath   = apiPrefix + "keys"
	jobsPrefix = apiPrefix + "jobs/"
	// maxKeysPerCall bounds the keys issued by one call.
	maxKeysPerCall = 1000
	// maxKeyBytes limits the space that a key takes in the log, where it is kept for a day.
	maxKeyBytes = 200
	// maxNameBytes bounds the names of teams and classes, and the IDs of jobs and requests.
	maxNameBytes = 128
)

// handle passes a request to the method of the Handler that its path selects.
func (s *Server) handle(ctx context.Context, c *callerConn, request *protocol.Request, body []byte, id wigeonstep.RequestID) wigeonstep.Response {
	path := string(request.Header.RequestURI())
	var response wigeonstep.Response
	if strings.HasPrefix(path, apiPrefix) {
		response = s.handleAPI(ctx, string(request.Header.Method()), path, request)
	} else {
		parsed, refused := s.parse(request, path, body, id)
		if refused != nil {
			s.logBadInput(c, id, refused)
			return *refused
		}
		return s.config.Handler.Serve(ctx, parsed)
	}
	if response.Refusal != nil && response.Refusal.Step == stepRead {
		s.logBadInput(c, id, &response)
	}
	return response
}

// parse checks the headers of a request for a team and returns the request, or a refusal.
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
		Key:         wigeonstep.IdempotencyKey(h.Peek(wigeonstep.HeaderIdempotencyKey)),
	}
	switch {
	case !strings.HasPrefix(path, "/"):
		return nil, badInput(http.StatusBadRequest, "the path of the request does not start with /")
	case parsed.Team == "" || len(parsed.Team) > maxNameBytes:
		return nil, badInput(http.StatusBadRequest, "the header "+wigeonstep.HeaderTeam+" is missing or too long")
	case parsed.Class == "" || len(parsed.Class) > maxNameBytes:
		return nil, badInput(http.StatusBadRequest, "the header "+wigeonstep.HeaderClass+" is missing or too long")
	case !validKey(parsed.Key):
		return nil, badInput(http.StatusBadRequest, "the header "+wigeonstep.HeaderIdempotencyKey+" is longer than 200 bytes or not printable ASCII")
	}
	if deadlineMS := h.Peek(wigeonstep.HeaderDeadlineMS); len(deadlineMS) > 0 {
		ms, err := strconv.ParseInt(string(deadlineMS), 10, 64)
		if err != nil {
			return nil, badInput(http.StatusBadRequest, "the header "+wigeonstep.HeaderDeadlineMS+" is not a whole number of milliseconds")
		}
		if ms <= 0 {
			return nil, badInput(http.StatusBadRequest, "the deadline is already past")
		}
		if ms > s.config.MaxDeadline.Milliseconds() {
			return nil, badInput(http.StatusBadRequest, "the deadline is longer than "+s.config.MaxDeadline.String())
		}
		parsed.Deadline = s.config.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return parsed, nil
}

// validKey reports whether the key is short enough and printable ASCII without spaces. The empty key is valid.
func validKey(key wigeonstep.IdempotencyKey) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < '!' || key[i] > '~' {
			return false
		}
	}
	return true
}

// handleAPI serves the paths below apiPrefix, which issue keys and show or cancel jobs.
func (s *Server) handleAPI(ctx context.Context, method, path string, request *protocol.Request) wigeonstep.Response {
	path, query, _ := strings.Cut(path, "?")
	if path == keysPath {
		if method != http.MethodPost {
			return BadInput(http.StatusMethodNotAllowed, "keys are issued by POST")
		}
		count := 1
		if countText, ok := strings.CutPrefix(query, "count="); ok {
			n, err := strconv.Atoi(countText)
			if err != nil || n < 1 || n > maxKeysPerCall {
				return BadInput(http.StatusBadRequest, "count is not a number from 1 to "+strconv.Itoa(maxKeysPerCall))
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
		return s.config.Handler.JobStatus(ctx, wigeonstep.JobID(job))
	case http.MethodDelete:
		return s.config.Handler.CancelJob(ctx, wigeonstep.JobID(job), string(request.Header.Peek(wigeonstep.HeaderTeam)))
	default:
		return BadInput(http.StatusMethodNotAllowed, "a job is shown by GET and cancelled by DELETE")
	}
}
