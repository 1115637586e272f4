// Package wigeonplatform is the client of the platform: its log, its VM list and its actions on VMs.
//
// The platform's API is HTTP/1.1. Every request carries the header Wigeonstep-Client with the name of the process.
// Log payloads are binary; all other bodies are JSON with fields in snake case. Durations are in milliseconds unless
// the field's name says otherwise.
//
//	POST /v1/log/{stream}          the body is the payload, at most 1 MB
//	                               200 {"offset"}
//	GET  /v1/log/{stream}?from=&limit=&wait_ms=
//	                               waits up to wait_ms, at most 30000, for the first record
//	                               200 with a wigeonwire.Records in protobuf: records, next_offset (of the next append),
//	                               first_offset (oldest offset held)
//	GET  /v1/vms?since=            since is the token of an earlier answer, or empty
//	                               200 {"token", "age_ns", "full", "vms", "removed", "pools"}; without full, vms and
//	                               removed hold only the changes since the token
//	POST /v1/vms/drain|reboot|assign|checkpoint
//	                               {"vm", "epoch", "pool" (assign only)}
//	                               204; a repetition with the same epoch has no further effect
//
// An error has a body {"reason", "first", "next"}, of which the offsets are set for status 410:
//
//	400, 404, 405, 409, 413  refused, no effect          ErrRejected
//	410                      the offset is no longer held ErrCompacted
//	429                      over the append rate        ErrRejected
//	503                      out of service, no effect   ErrUnavailable
//	any other                may have taken effect       ErrAnswerLost, or ErrUnavailable for reads
//
// A call that could not connect had no effect and is ErrUnavailable. A call whose answer did not arrive whole and in
// time is ErrAnswerLost when it changes something, and ErrUnavailable when it reads. The client never repeats a call
// that changes something; callers repeat it under the rules of their own step.
package wigeonplatform
