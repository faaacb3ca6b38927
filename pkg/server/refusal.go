package server

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// cause is why a request was refused or a connection closed; the metrics count by it.
type cause string

const (
	causeNone            cause = ""
	causeMalformed       cause = "malformed"
	causeEmptyLines      cause = "empty-lines"
	causeHeadTooLarge    cause = "head-too-large"
	causeTrailerTooLarge cause = "trailer-too-large"
	causeBodyTooLarge    cause = "body-too-large"
	causeChunkLine       cause = "chunk-line"
	causeHeadTimeout     cause = "head-timeout"
	causeBodyTimeout     cause = "body-timeout"
	causeMemory          cause = "memory"
	causeConnections     cause = "connections"
	causeDescriptors     cause = "descriptors"
	// causeCut is a request whose connection ended within it; it is not counted.
	causeCut cause = "cut"
)

// status returns the status of the response to a request that is refused for c.
func (c cause) status() int {
	switch c {
	case causeHeadTooLarge, causeTrailerTooLarge:
		return consts.StatusRequestHeaderFieldsTooLarge
	case causeBodyTooLarge:
		return consts.StatusRequestEntityTooLarge
	case causeHeadTimeout, causeBodyTimeout:
		return consts.StatusRequestTimeout
	case causeMemory, causeConnections, causeDescriptors:
		return consts.StatusServiceUnavailable
	default:
		return consts.StatusBadRequest
	}
}

// response returns a complete response that says that the request was not accepted.
func (c cause) response() []byte {
	status := c.status()
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + consts.StatusMessage(status) + "\r\n"
	if status == consts.StatusServiceUnavailable {
		text += "Retry-After: 1\r\n"
	}
	return []byte(text + "Content-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
}

// refusedError is what the HTTP library gets in place of the rest of a request that was
// refused or cut off.
type refusedError struct {
	Cause cause
}

// Error implements error. The library runs a request whose trailers cannot be read, unless
// the text contains "timeout".
func (e *refusedError) Error() string {
	return "refusal, end of the connection or timeout within a request: " + string(e.Cause)
}
