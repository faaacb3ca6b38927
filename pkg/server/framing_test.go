package server

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"gotest.tools/v3/assert"
)

// scannedEnds returns the offsets at which the scanner sees requests end, how much of what
// is sent it lets through, and whether that stops within trailers.
func scannedEnds(sent string) (ends []int, passed int, inTrailers bool) {
	s := &scanner{}
	for i := range len(sent) {
		before := s.phase
		if s.scan([]byte(sent[i:i+1]), scanBounds()) != causeNone {
			return ends, i, before == phaseTrailer
		}
		if s.finished > 0 {
			ends = append(ends, i+1)
		}
	}
	return ends, len(sent), s.phase == phaseTrailer
}

// libraryEnds returns the offsets at which the HTTP library sees requests end.
func libraryEnds(sent string) []int {
	var ends []int
	r := mock.NewZeroCopyReader(sent)
	for range sent {
		request := &protocol.Request{}
		err := req.ReadHeaderAndLimitBody(request, r, scanBounds().BodyBytes, false)
		if err == nil && request.MayContinue() {
			err = req.ContinueReadBody(request, r, scanBounds().BodyBytes, false)
		}
		if err != nil {
			return ends
		}
		ends = append(ends, len(sent)-r.Len())
	}
	return ends
}

// Guards against a request that ends elsewhere for the HTTP library than for the scanner,
// so that the bounds would apply to the wrong bytes.
func FuzzFramingIsTheLibrarys(f *testing.F) {
	for _, c := range scanCases() {
		f.Add(c.sent)
		f.Add(c.sent + testHead + "\r\n")
	}
	f.Fuzz(func(t *testing.T, sent string) {
		// The library gets nothing of what follows a refusal.
		ends, passed, inTrailers := scannedEnds(sent)
		for i, end := range libraryEnds(sent[:passed]) {
			if i == len(ends) && inTrailers {
				// The library takes the end of the input for the end of the trailers;
				// a connection ends with an error in it.
				break
			}
			assert.Assert(t, i < len(ends), "the library sees a request end at %d", end)
			assert.Equal(t, end, ends[i], "request %d", i)
		}
	})
}
