// Package wigeonplatform is the client of the platform's API: its log, its VM list and its actions on VMs.
//
// The platform's API is HTTP/1.1. Every request carries the header Wigeonstep-Client with the name of the process.
// Log payloads are binary. All other bodies are JSON with field names in snake case. Durations are in milliseconds
// unless the name of the field has another unit.
//
//	POST /v1/log/{stream}          the body is the payload, at most 1 MB
//	                               200 {"offset"}
//	GET  /v1/log/{stream}?from=&limit=&wait_ms=
//	                               waits at most wait_ms, up to 30000, for the first record
//	                               200 with a wigeonwire.Records in protobuf: records, next_offset (of the next append),
//	                               first_offset (oldest offset retained)
//	GET  /v1/vms?since=            since is the token of an earlier response, or empty
//	                               200 {"token", "age_ns", "full", "vms", "removed", "pools"}; without full, vms and
//	                               removed hold only the changes since the token
//	POST /v1/vms/drain|reboot|assign|checkpoint
//	                               {"vm", "epoch", "pool" (assign only)}
//	                               204; a repeated call with the same epoch has no effect
//
// An error has a body {"reason", "first", "next"}. The offsets are set only for status 410:
//
//	400, 404, 405, 409, 413  refused, no effect          ErrRejected
//	410                      the offset is not retained   ErrCompacted
//	429                      over the append rate        ErrRejected
//	503                      not available, no effect    ErrUnavailable
//	any other                may have taken effect       ErrAnswerLost, or ErrUnavailable for reads
//
// A call that cannot connect has no effect and fails with ErrUnavailable. A call without a complete response within its
// timeout fails with ErrAnswerLost if it is an append or an action, and with ErrUnavailable if it is a read. The client
// never retries an append or an action; its callers retry them under rules of their own.
package wigeonplatform
