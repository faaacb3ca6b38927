package supervisor

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// answerLogInterval is the time after which an unchanged answer is logged
	// again, and answersPerInterval the most that are logged in it.
	answerLogInterval  = time.Second
	answersPerInterval = 3
	// answerLogTTL is how long a call is remembered after its last line.
	answerLogTTL = 10 * time.Second
)

// answerLog decides which answers of the runner are logged. A call that fails is
// repeated every retryBackoff, mostly with the same answer.
type answerLog struct {
	calls map[loggedCall]*loggedAnswer
}

// loggedCall identifies the calls for one purpose.
type loggedCall struct {
	stop bool
	ref  framer.RunRef
	// speed is set for a speed limit, which is percent then.
	speed   bool
	percent int
}

// loggedAnswer is the last answer to a call that was logged.
type loggedAnswer struct {
	answer string
	// lines counts the lines of the interval that began at from.
	lines int
	from  time.Time
	// repeats counts the answers since the last line.
	repeats int
}

func newAnswerLog() *answerLog {
	return &answerLog{
		calls: map[loggedCall]*loggedAnswer{},
	}
}

// due reports whether an answer must be logged: the first one, one that differs
// from the last line, and otherwise one in each answerLogInterval. repeats is the
// number of answers since the last line that were not logged.
func (l *answerLog) due(now time.Time, call loggedCall, a Answer, err error) (repeats int, ok bool) {
	logged := l.calls[call]
	if logged == nil {
		l.forget(now)
		logged = &loggedAnswer{}
		l.calls[call] = logged
	}
	answer := answerText(a, err)
	if now.Sub(logged.from) >= answerLogInterval {
		logged.from = now
		logged.lines = 0
	}
	if logged.lines > 0 && (answer == logged.answer || logged.lines >= answersPerInterval) {
		logged.repeats++
		return 0, false
	}
	repeats = logged.repeats
	logged.answer = answer
	logged.lines++
	logged.repeats = 0
	return repeats, true
}

// forget drops the calls that were not logged for answerLogTTL.
func (l *answerLog) forget(now time.Time) {
	maps.DeleteFunc(l.calls, func(_ loggedCall, logged *loggedAnswer) bool { return now.Sub(logged.from) > answerLogTTL })
}

// answerText returns what distinguishes two answers. Of an error, that is its
// root: the text around it names the port of the connection.
func answerText(a Answer, err error) string {
	if err != nil {
		return "error: " + errors.UnwrapAll(err).Error()
	}
	return string(a.Refusal)
}
